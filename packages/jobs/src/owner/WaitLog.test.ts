import { expect } from 'chai'
import type { AdviceState } from '../model/AdviceState.ts'
import type { StepInstance } from '../model/index.ts'
import { makeStep, makeWorker, NOW } from '../placement/_test/makeState.ts'
import { WaitLog } from './WaitLog.ts'

/** Interval between the rounds of the cases, in ms. */
const ROUND_MS = 50
const KEEPER = makeStep()
const CHECKS = {
  isHealthy: () => true, findHealthObstacle: () => undefined, isReserved: () => true, reservedFor: () => KEEPER
}

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
  const requests: Array<{ name: string, request: AdviceState['request'], fields: Record<string, unknown> }> = [
    {
      name: 'tells how long a request for advice waits for a node',
      request: { ahead: false, requestedAt: NOW },
      fields: { adviceQueuedMs: 2_000 }
    },
    {
      name: 'tells which node has not answered a call for advice',
      request: { ahead: false, requestedAt: NOW, sentAt: NOW + 500, node: 'n1' },
      fields: { adviceOpenMs: 1_500, adviceNode: 'n1' }
    }
  ]
  for (const { name, request, fields } of requests) {
    it(name, () => {
      const written: Array<Record<string, unknown>> = []
      const log = new WaitLog({ info: (line) => written.push(line), warn: () => {} })
      const step = makeStep()
      step.advice.request = request
      log.record(step.tasks[0]!, [makeWorker('w')], CHECKS, NOW + 2_000)
      expect(written[0]).to.include(fields)
    })
  }
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
