import { expect } from 'chai'
import type { Clock } from '@sinonjs/fake-timers'
import { createQueue, type MemoryCell, type PlanRunEnd } from '../standins/index.ts'
import type { RunEndReason } from '../types.ts'
import { describeCells, fetchState, submitInBackground } from './describeCells.ts'

const JOBS = 20
const TASKS_PER_JOB = 35
const TASKS = JOBS * TASKS_PER_JOB

/** Time in which all tasks start, in ms. */
const START_MS = 1_000

/** Time for which the worker is out of reach, in ms; its leases are longer. */
const CUT_MS = 3_500

const IDS = Array.from({ length: JOBS }, (_, index) => (index + 1).toString(16).padStart(16, '0'))

/** Ends each run during the cut. The runs of the last jobs end last, so that the worker lists them last. */
function createPlan (reason: RunEndReason): PlanRunEnd {
  return ({ job }) => ({ reason, afterMs: START_MS + 500 + 50 * IDS.indexOf(job) })
}

/** Starts all tasks on the worker `w0`, the only one with room, and cuts it off until all of them have ended. */
async function endAllOutOfReach (cell: MemoryCell, clock: Clock, maxAttempts: number): Promise<void> {
  const demand = { cpuMillis: 40, memoryMb: 80, accelerators: 0 }
  const queue = createQueue('batch', { maxAttempts })
  for (const id of IDS) submitInBackground(cell, id, [{ count: TASKS_PER_JOB, demand, estimatedRunMs: 3_000 }], queue)
  await clock.tickAsync(START_MS)
  expect(cell.workers.workers.get('w0')!.runs.size).to.equal(TASKS)
  cell.reachesWorker = () => false
  await clock.tickAsync(CUT_MS)
}

const CASES: Array<{
  name: string
  reason: RunEndReason
  maxAttempts: number
  state: string
  /** Called when the worker can be reached again. */
  act?: (cell: MemoryCell) => void
}> = [
  { name: 'are not run again after they have succeeded', reason: 'done', maxAttempts: 3, state: 'completed' },
  {
    name: 'are not run again after they have succeeded if a new owner reads the ends',
    reason: 'done',
    maxAttempts: 3,
    state: 'completed',
    act: (cell) => cell.killNode(cell.owner!.name)
  },
  // An end that is not listed yet counts as an attempt like all others.
  { name: 'are not run again after their last attempt', reason: 'failed', maxAttempts: 1, state: 'failed' }
]

// Runs whose ends were not among the listed ones were taken for missing, and their tasks started again.
describeCells('Tasks whose ends a worker lists in several reports', CASES.map((
  { name, reason, maxAttempts, state, act }
) => ({
  name,
  options: {
    nodes: 5,
    workers: 1,
    capacity: { cpuMillis: 32_000, memoryMb: 65_536, accelerators: 0 },
    planRunEnd: createPlan(reason)
  },
  run: async (cell, clock) => {
    await endAllOutOfReach(cell, clock, maxAttempts)
    // A worker with room for all tasks that are started again.
    cell.addWorker('w1')
    cell.reachesWorker = () => true
    act?.(cell)
    await clock.tickAsync(10_000)
    expect(cell.checker.starts).to.equal(TASKS)
    for (const id of IDS) expect(await fetchState(cell, clock, id), id).to.equal(state)
  }
})))
