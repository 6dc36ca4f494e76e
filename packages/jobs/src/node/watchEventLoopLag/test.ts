import { install, type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { WARM_UP_MS, watchEventLoopLag } from './index.ts'

describe('watchEventLoopLag', () => {
  let clock: Clock
  beforeEach(() => { clock = install() })
  afterEach(() => clock.uninstall())

  /** Makes timers fire late for the given time. */
  function delayTimers (durationMs: number): void {
    const end = performance.now() + durationMs
    while (performance.now() < end) clock.jump(250)
  }

  const cases = [
    { name: 'calls back while timers fire late', prepare: () => clock.tick(WARM_UP_MS), isSlow: true },
    { name: 'ignores lag while a new owner opens its connections', prepare: () => {}, isSlow: false }
  ]
  for (const { name, prepare, isSlow } of cases) {
    it(name, () => {
      let calls = 0
      const timer = watchEventLoopLag(() => { calls++ })
      prepare()
      delayTimers(2_500)
      clock.tick(5_000)
      clearInterval(timer)
      expect(calls > 0).to.equal(isSlow)
    })
  }
})
