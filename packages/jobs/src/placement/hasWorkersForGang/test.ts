import { expect } from 'chai'
import type { Step } from '../../types.ts'
import type { WorkerState } from '../../workers/WorkerState.ts'
import { makeStep, makeWorker, NOW } from '../_test/makeState.ts'
import { hasWorkersForGang } from './index.ts'

/** Half of the processors of a worker. */
const demand = { cpuMillis: 4_000, memoryMb: 0, accelerators: 0 }
const advice = { decisionMs: 10, perWorkerMs: 1, validMs: 2_000 }

/** Creates a worker that another task uses. */
function makeBusyWorker (id: string, longRunning = false): WorkerState {
  const worker = makeWorker(id)
  worker.add(makeStep({ demand, longRunning }).tasks[0]!)
  return worker
}

describe('hasWorkersForGang', () => {
  const cases: Array<{
    name: string,
    step: Partial<Step>,
    workers: WorkerState[],
    /** Ids of the workers that the policy excludes. Default: there is no policy. */
    excluded?: string[],
    expected: boolean
  }> = [
    { name: 'counts several tasks on a worker', step: { count: 4 }, workers: ['a', 'b'].map((id) => makeWorker(id)), expected: true },
    { name: 'finds the workers too few', step: { count: 5 }, workers: ['a', 'b'].map((id) => makeWorker(id)), expected: false },
    { name: 'counts what other tasks use', step: { count: 4 }, workers: ['a', 'b'].map((id) => makeBusyWorker(id)), expected: true },
    { name: 'leaves out what long-running tasks use', step: { count: 2 }, workers: [makeBusyWorker('a', true)], expected: false },
    { name: 'keeps to the limit of tasks on one worker', step: { count: 2, maxPerWorker: 1 }, workers: [makeWorker('a')], expected: false },
    { name: 'counts no draining worker', step: { count: 2 }, workers: [makeWorker('a', { draining: true })], expected: false },
    { name: 'counts workers that the policy has not decided on', step: { count: 2 }, workers: [makeWorker('a')], excluded: [], expected: true },
    { name: 'counts no worker that the policy excludes', step: { count: 2 }, workers: [makeWorker('a')], excluded: ['a'], expected: false },
    { name: 'counts no worker without the label', step: { count: 2, requiredLabel: 'large' }, workers: [makeWorker('a')], expected: false }
  ]
  for (const { name, step: changes, workers, excluded, expected } of cases) {
    it(name, () => {
      const step = makeStep({ gang: true, demand, ...changes }, excluded === undefined ? {} : { advice })
      step.advice.record(excluded ?? [], [], NOW)
      expect(hasWorkersForGang(step, workers)).to.equal(expected)
    })
  }
})
