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
    { name: 'ignores lag while a new owner opens its connections', prepare: () => {}, isSlow: false },
    {
      // Nodes under the load of many lost workers handed the cell to each other every 5 s.
      name: 'ignores lag while the process itself uses the processor',
      prepare: () => clock.tick(WARM_UP_MS),
      used: 0.7,
      isSlow: false
    },
    {
      name: 'calls back while timers fire late on a part of a processor, of which the process gets a fifth',
      prepare: () => clock.tick(WARM_UP_MS),
      processors: 0.6,
      used: 0.12,
      isSlow: true
    },
    {
      name: 'ignores lag while the process itself uses its part of a processor',
      prepare: () => clock.tick(WARM_UP_MS),
      processors: 0.6,
      used: 0.5,
      isSlow: false
    }
  ]
  for (const { name, prepare, processors = 1, used = 0.1, isSlow } of cases) {
    it(name, () => {
      let calls = 0
      const timer = watchEventLoopLag(processors, () => { calls++ }, { readCpuMs: () => used * performance.now() })
      prepare()
      delayTimers(2_500)
      clock.tick(5_000)
      clearInterval(timer)
      expect(calls > 0).to.equal(isSlow)
    })
  }
})
