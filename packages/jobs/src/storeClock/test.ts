import { install, type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { readInstant } from '../instant/index.ts'
import { StoreClock } from './StoreClock.ts'

/** Reading of the store's clock at the start of each case, in ms. */
const STORE_MS = 500_000

describe('StoreClock', () => {
  let clock: Clock
  let storeClock: StoreClock
  beforeEach(() => {
    clock = install({ now: 1_000_000 })
    storeClock = new StoreClock()
  })
  afterEach(() => clock.uninstall())

  /** Records an answer that took 40 ms. */
  const recordReading = () => {
    const sentAt = readInstant()
    clock.tick(40)
    storeClock.record(STORE_MS, sentAt)
  }

  const cases: Array<{ name: string, run: () => number | undefined, expected: number | undefined }> = [
    { name: 'converts nothing before the first reading', run: () => storeClock.toStore(0), expected: undefined },
    {
      name: 'converts to the store as if its clock had been read when the call was sent',
      run: () => {
        recordReading()
        clock.tick(1_000)
        return storeClock.toStore(performance.now() + 5_000)
      },
      expected: STORE_MS + 6_040
    },
    {
      name: 'converts from the store as if its clock had been read when the answer arrived',
      run: () => {
        recordReading()
        return storeClock.toMonotonic(STORE_MS + 5_000)! - performance.now()
      },
      expected: 5_000
    },
    {
      // The monotonic clock stands still during a suspension, so that a bound would be reached too early elsewhere.
      name: 'counts the time for which the machine was suspended',
      run: () => {
        recordReading()
        clock.setSystemTime(Date.now() + 3_000)
        return storeClock.toStore(performance.now())
      },
      expected: STORE_MS + 3_040
    },
    {
      name: 'does not count a step back of the wall clock',
      run: () => {
        recordReading()
        clock.setSystemTime(Date.now() - 3_000)
        return storeClock.toStore(performance.now())
      },
      expected: STORE_MS + 40
    },
    {
      name: 'keeps its reading when an answer tells no time',
      run: () => {
        recordReading()
        storeClock.record(undefined, readInstant())
        return storeClock.toStore(performance.now())
      },
      expected: STORE_MS + 40
    }
  ]
  for (const { name, run, expected } of cases) {
    it(name, () => { expect(run()).to.equal(expected) })
  }
})
