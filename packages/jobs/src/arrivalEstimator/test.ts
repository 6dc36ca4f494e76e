import { install } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { ArrivalEstimator } from './ArrivalEstimator.ts'

describe('ArrivalEstimator', () => {
  // A process that had stood still took a call for a new one that its caller had given up and cancelled elsewhere.
  const cases: Array<{ name: string, stallMs: number, thenMs: number, expectedAgeMs: number }> = [
    { name: 'takes messages for new while timers fire in time', stallMs: 0, thenMs: 0, expectedAgeMs: 0 },
    { name: 'allows for the time for which the process stood still', stallMs: 2_000, thenMs: 0, expectedAgeMs: 2_000 },
    { name: 'allows for it until all messages were read', stallMs: 2_000, thenMs: 40, expectedAgeMs: 2_040 },
    { name: 'takes later messages for new again', stallMs: 2_000, thenMs: 60, expectedAgeMs: 0 }
  ]
  for (const { name, stallMs, thenMs, expectedAgeMs } of cases) {
    it(name, () => {
      const clock = install()
      const arrivals = new ArrivalEstimator()
      arrivals.start()
      clock.tick(500)
      clock.jump(stallMs)
      clock.tick(thenMs)
      const ageMs = performance.now() - arrivals.earliest.monotonicMs
      clock.uninstall()
      expect(ageMs).to.equal(expectedAgeMs)
    })
  }
})
