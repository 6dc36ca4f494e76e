import { expect } from 'chai'
import type { TaskInstance } from '../../model/index.ts'
import type { Step } from '../../types.ts'
import type { WorkerState } from '../../workers/WorkerState.ts'
import { makeStep, makeWorker, NOW } from '../_test/makeState.ts'
import { countObstacles, type HealthObstacle, type Obstacle } from './index.ts'

const advice = { decisionMs: 10, perWorkerMs: 1, validMs: 2_000 }

/** Creates a worker whose processors are all in use. */
function makeFullWorker (): WorkerState {
  const worker = makeWorker('w')
  worker.add(makeStep({ demand: { ...worker.entry.capacity, memoryMb: 0, accelerators: 0 } }).tasks[0]!)
  return worker
}

describe('countObstacles', () => {
  const cases: Array<{
    name: string,
    step?: Partial<Step>,
    /** Default: one that accepts tasks and is empty. */
    worker?: () => WorkerState,
    prepare?: (task: TaskInstance) => void,
    healthObstacle?: HealthObstacle,
    isReserved?: boolean,
    obstacle: Obstacle | undefined
  }> = [
    { name: 'counts no worker that can take the task', obstacle: undefined },
    { name: 'counts draining workers', worker: () => makeWorker('w', { draining: true }), obstacle: 'draining' },
    {
      name: 'counts workers that the registry does not list',
      worker: () => makeWorker('w', {}, { unlistedSince: NOW }),
      obstacle: 'unlisted'
    },
    {
      name: 'counts workers that have not answered this owner yet',
      worker: () => makeWorker('w', {}, { hasAnswered: false, reachable: false }),
      obstacle: 'notPolled'
    },
    {
      name: 'counts workers that do not answer any more',
      worker: () => makeWorker('w', {}, { reachable: false }),
      obstacle: 'unreachable'
    },
    {
      name: 'counts workers that are recorded as lost',
      worker: () => makeWorker('w', {}, { isRecordedAsLost: true }),
      obstacle: 'recordedAsLost'
    },
    {
      name: 'counts workers whose entry is that of the incarnation before',
      worker: () => makeWorker('w', { startedAt: 1 }, { startedAt: 2 }),
      obstacle: 'outdatedEntry'
    },
    {
      name: 'counts workers with runs that no job owns',
      worker: () => makeWorker('w', {}, { hasUnownedRuns: true }),
      obstacle: 'unownedRuns'
    },
    {
      name: 'counts workers without the required label',
      step: { requiredLabel: 'large' },
      obstacle: 'unsuitable'
    },
    {
      name: 'counts workers that the policy excludes',
      prepare: ({ step }) => step.advice.record(['w'], [], NOW + 2_000),
      obstacle: 'notAllowed'
    },
    {
      name: 'counts workers on which the task has failed',
      prepare: ({ failedOn }) => { failedOn.add('w') },
      obstacle: 'failedOn'
    },
    {
      name: 'counts workers with as many tasks of the step as it allows',
      step: { count: 2, maxPerWorker: 1 },
      prepare: ({ step }) => Object.assign(step.tasks[1]!, { status: 'running', worker: 'w' }),
      obstacle: 'stepLimit'
    },
    { name: 'counts workers without room', worker: makeFullWorker, obstacle: 'noRoom' },
    {
      name: 'counts workers whose processors others have claimed, for a filler task that has not waited',
      step: { fills: true },
      worker: makeFullWorker,
      obstacle: 'cpuClaimed'
    },
    { name: 'counts no worker that can take a filler task', step: { fills: true }, obstacle: undefined },
    { name: 'counts workers with recent failures', healthObstacle: 'breakerOpen', obstacle: 'breakerOpen' },
    { name: 'counts workers that are kept for other tasks', isReserved: true, obstacle: 'reserved' },
    {
      name: 'counts workers that the policy service was not asked about',
      prepare: ({ step }) => step.advice.record(['other'], [], NOW + 2_000),
      obstacle: 'notAsked'
    },
    {
      name: 'counts workers whose ticket has expired',
      prepare: ({ step }) => step.advice.record(['w'], [['w', 'ticket']], NOW),
      obstacle: 'ticketExpired'
    },
    {
      name: 'counts a worker with several obstacles for the one that lasts longest',
      worker: makeFullWorker,
      healthObstacle: 'breakerOpen',
      isReserved: true,
      obstacle: 'noRoom'
    }
  ]
  for (const { name, step, worker, prepare, healthObstacle, isReserved = false, obstacle } of cases) {
    it(name, () => {
      const queue = obstacle === 'notAllowed' || obstacle === 'notAsked' || obstacle === 'ticketExpired' ? { advice } : {}
      const task = makeStep(step, queue).tasks[0]!
      prepare?.(task)
      const counts = countObstacles(task, [(worker ?? (() => makeWorker('w')))()], {
        now: NOW, findHealthObstacle: () => healthObstacle, isReserved: () => isReserved
      })
      expect(counts).to.deep.equal(obstacle === undefined ? {} : { [obstacle]: 1 })
    })
  }
})
