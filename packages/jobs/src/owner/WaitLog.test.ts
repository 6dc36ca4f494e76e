import { expect } from 'chai'
import type { StepInstance } from '../model/index.ts'
import { makeStep, makeWorker, NOW } from '../placement/_test/makeState.ts'
import { WaitLog } from './WaitLog.ts'

/** Interval between the rounds of the cases, in ms. */
const ROUND_MS = 50
const KEEPER = makeStep()
const CHECKS = { isHealthy: () => true, isReserved: () => true, reservedFor: () => KEEPER }

describe('WaitLog', () => {
  const cases: Array<{ name: string, steps: () => StepInstance[], durationMs: number, lines: number }> = [
    { name: 'writes no line about a short wait', steps: () => [makeStep()], durationMs: 1_900, lines: 0 },
    { name: 'writes a line about a step every 2 s', steps: () => [makeStep()], durationMs: 7_000, lines: 3 },
    {
      name: 'writes at most ten lines in a second',
      steps: () => Array.from({ length: 500 }, () => makeStep()),
      durationMs: 2_950,
      lines: 10
    }
  ]
  for (const { name, steps, durationMs, lines } of cases) {
    it(name, () => {
      const written: Array<Record<string, unknown>> = []
      const log = new WaitLog({ info: (fields) => written.push(fields), warn: () => {} })
      const waiting = steps()
      for (let now = NOW; now <= NOW + durationMs; now += ROUND_MS) {
        for (const { tasks: [task] } of waiting) log.record(task!, [makeWorker('w')], CHECKS, now)
      }
      expect(written.map(({ obstacles, reservedFor }) => ({ obstacles, reservedFor }))).to.deep.equal(
        Array(lines).fill({ obstacles: { reserved: 1 }, reservedFor: [KEEPER.name] })
      )
    })
  }
})
