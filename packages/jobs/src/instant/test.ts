import { install, type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { measureLongestElapsed, readInstant } from './index.ts'

describe('measureLongestElapsed', () => {
  let clock: Clock
  beforeEach(() => { clock = install({ now: 1_000_000 }) })
  afterEach(() => clock.uninstall())

  // An owner that was suspended renewed leases for longer after its last commit than its successor allowed for.
  const cases: Array<{ name: string, wallClockStepMs: number, expected: number }> = [
    { name: 'is the time on the monotonic clock', wallClockStepMs: 0, expected: 500 },
    { name: 'includes a suspension, in which only the wall clock goes on', wallClockStepMs: 4_000, expected: 4_500 },
    { name: 'ignores a step back of the wall clock', wallClockStepMs: -4_000, expected: 500 }
  ]
  for (const { name, wallClockStepMs, expected } of cases) {
    it(name, () => {
      const instant = readInstant()
      clock.tick(500)
      clock.setSystemTime(Date.now() + wallClockStepMs)
      expect(measureLongestElapsed(instant)).to.equal(expected)
    })
  }
})
