import { expect } from 'chai'
import type { TaskInstance } from '../../model/index.ts'
import type { Queue, Step } from '../../types.ts'
import type { WorkerState } from '../../workers/WorkerState.ts'
import { makeStep, makeWorker, NOW } from '../_test/makeState.ts'
import { choosePreemption } from './index.ts'

const urgent = { priority: 1 }
const relaxed = { priority: 2 }
const saving = { savesProgress: true, estimatedRunMs: 10_000 }
const demand = (cpuMillis: number, accelerators = 0) => ({ cpuMillis, memoryMb: 100, accelerators })

/** Adds a running task to a worker and returns it. */
function run (worker: WorkerState, step: Partial<Step>, queue: Partial<Queue> = relaxed): TaskInstance {
  const [task] = makeStep({ ...saving, ...step }, queue).tasks
  Object.assign(task!, { status: 'running', worker: worker.id, startedAt: NOW })
  worker.add(task!)
  return task!
}

describe('choosePreemption', () => {
  const cases: Array<{
    name: string,
    /** Prepares the worker and returns the tasks that are to be stopped; undefined when the worker can't make room. */
    prepare: (worker: WorkerState) => TaskInstance[] | undefined,
    needs?: Partial<Step>
  }> = [
    {
      name: 'stops a task of a less urgent queue that saves its progress',
      prepare: (worker) => [run(worker, { demand: demand(6_000) })]
    },
    {
      name: 'stops as little work as makes enough room',
      prepare: (worker) => {
        run(worker, { demand: demand(5_000) })
        return [run(worker, { demand: demand(3_000) })]
      },
      needs: { demand: demand(3_000) }
    },
    {
      name: 'stops tasks beyond the share of their account rather than smaller ones within it',
      prepare: (worker) => {
        run(worker, { demand: demand(3_000) })
        const beyond = run(worker, { demand: demand(5_000) })
        beyond.step.job.beyondShare = true
        return [beyond]
      },
      needs: { demand: demand(3_000) }
    },
    {
      name: 'stops only tasks that hold what is missing',
      prepare: (worker) => {
        run(worker, { demand: demand(100) })
        return [run(worker, { demand: demand(1_000, 1) })]
      },
      needs: { demand: demand(1_000, 1) }
    },
    {
      name: 'stops nothing when tasks that are being stopped leave enough room',
      prepare: (worker) => {
        run(worker, { demand: demand(6_000) }).status = 'stopping'
        return []
      }
    },
    {
      name: 'leaves tasks of queues with the same priority alone',
      prepare: (worker) => {
        run(worker, { demand: demand(6_000) }, urgent)
        return undefined
      }
    },
    {
      name: 'leaves tasks alone whose progress is not saved',
      prepare: (worker) => {
        run(worker, { demand: demand(6_000), savesProgress: false })
        return undefined
      }
    },
    {
      name: 'leaves tasks alone that end soon',
      prepare: (worker) => {
        run(worker, { demand: demand(6_000), estimatedRunMs: 300 })
        return undefined
      }
    },
    {
      name: 'leaves members of gangs and long-running tasks alone',
      prepare: (worker) => {
        run(worker, { demand: demand(3_000), gang: true })
        run(worker, { demand: demand(3_000), longRunning: true })
        return undefined
      }
    },
    {
      name: 'stops nothing when a task that is done, but not listed as ended, leaves enough',
      prepare: (worker) => {
        run(worker, { demand: demand(3_000) })
        worker.linger(run(worker, { demand: demand(4_000) }), NOW)
        return []
      }
    },
    {
      name: 'does not stop a task a third time',
      prepare: (worker) => {
        run(worker, { demand: demand(6_000) }).preemptions = 2
        return undefined
      }
    }
  ]
  for (const { name, prepare, needs = { demand: demand(4_000) } } of cases) {
    it(name, () => {
      const worker = makeWorker('w0')
      const expected = prepare(worker)
      const [task] = makeStep(needs, urgent).tasks
      expect(choosePreemption(task!, [worker], NOW)?.victims).to.deep.equal(expected)
    })
  }

  it('chooses the worker on which the least work is stopped', () => {
    const [large, small] = [makeWorker('large'), makeWorker('small')]
    run(large, { demand: demand(8_000) })
    run(small, { demand: demand(5_000) })
    const [task] = makeStep({ demand: demand(4_000) }, urgent).tasks
    expect(choosePreemption(task!, [large, small], NOW)?.worker).to.equal(small)
  })
})
