import { expect } from 'chai'
import type { Step } from '../../types.ts'
import type { WorkerState } from '../../workers/WorkerState.ts'
import { makeStep, makeWorker, NOW } from '../_test/makeState.ts'
import { computeKeptRoom } from './index.ts'

const capacity = { cpuMillis: 8_000, memoryMb: 8_000, accelerators: 8 }
const demand = (cpuMillis: number, memoryMb = 0, accelerators = 0) => ({ cpuMillis, memoryMb, accelerators })

/** Adds a task to a worker that has run for `ranMs`. */
function run (worker: WorkerState, step: Partial<Step>, status = 'running', ranMs = 0): void {
  const [task] = makeStep({ estimatedRunMs: 4_000, ...step }).tasks
  Object.assign(task!, { status, worker: worker.id, startedAt: NOW - ranMs })
  worker.add(task!)
}

describe('computeKeptRoom', () => {
  const cases: Array<{ name: string, step: Partial<Step>, prepare: (worker: WorkerState) => void, kept: object }> = [
    {
      name: 'keeps nothing when the task that has to end leaves enough',
      step: { demand: demand(3_000, 5_000, 2) },
      prepare: (worker) => run(worker, { demand: demand(3_000, 5_000, 4) }),
      kept: demand(0, 0, 0)
    },
    {
      name: 'keeps what the task needs beyond that',
      step: { demand: demand(4_000, 5_000, 8) },
      prepare: (worker) => run(worker, { demand: demand(3_000, 5_000, 4) }),
      kept: demand(1_000, 0, 4)
    },
    {
      name: 'expects room from the tasks that end first',
      step: { demand: demand(3_000) },
      prepare: (worker) => {
        run(worker, { demand: demand(5_000) }, 'starting')
        run(worker, { demand: demand(2_000), estimatedRunMs: 9_000 }, 'running', 6_000)
      },
      kept: demand(1_000)
    },
    {
      name: 'counts only tasks whose end is needed',
      step: { demand: demand(6_000) },
      prepare: (worker) => {
        run(worker, { demand: demand(1_000), estimatedRunMs: 1_000 })
        run(worker, { demand: demand(5_000) })
      },
      kept: demand(1_000)
    },
    {
      name: 'expects a stopped task to end at once',
      step: { demand: demand(3_000) },
      prepare: (worker) => {
        run(worker, { demand: demand(5_000), estimatedRunMs: 100 })
        run(worker, { demand: demand(2_000) }, 'stopping')
      },
      kept: demand(1_000)
    },
    {
      name: 'expects a task that is done, but not listed as ended, to end at once',
      step: { demand: demand(3_000) },
      prepare: (worker) => {
        run(worker, { demand: demand(5_000), estimatedRunMs: 100 })
        run(worker, { demand: demand(2_000) })
        worker.linger([...worker.tasks].at(-1)!, NOW)
      },
      kept: demand(1_000)
    },
    {
      name: 'expects a long-running task to end last',
      step: { demand: demand(3_000) },
      prepare: (worker) => {
        run(worker, { demand: demand(5_000), longRunning: true, estimatedRunMs: 0 })
        run(worker, { demand: demand(2_000) })
      },
      kept: demand(1_000)
    },
    {
      name: 'does not count CPU for filler tasks',
      step: { demand: demand(9_000, 6_000), fills: true },
      prepare: (worker) => run(worker, { demand: demand(4_000, 4_000) }),
      kept: demand(0, 2_000)
    }
  ]
  for (const { name, step, prepare, kept } of cases) {
    it(name, () => {
      const worker = makeWorker('w', { capacity })
      prepare(worker)
      expect(computeKeptRoom(makeStep(step), worker, NOW)).to.deep.equal(kept)
    })
  }
})
