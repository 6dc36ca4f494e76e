import { TrackedJob, type StepInstance } from '../../model/index.ts'
import { createQueue, createStep } from '../../standins/index.ts'
import type { Queue, Step, WorkerEntry } from '../../types.ts'
import { WorkerState } from '../../workers/WorkerState.ts'

/** Monotonic time of the tests, in ms. */
export const NOW = 10_000

/** Creates a ready step of a new job. */
export function makeStep (
  changes: Partial<Step> = {}, queue: Partial<Queue> = {}, acceptedAt = NOW
): StepInstance {
  const spec = { payload: '', steps: [createStep(changes)], occurrences: 0, firstRunAt: 0, intervalMs: 0 }
  const job = new TrackedJob({ id: 'a', queue: createQueue('batch', queue), acceptedAt: 0, spec }, acceptedAt, 0)
  return job.openOccurrence(0, NOW)[0]!
}

/** Creates a worker with eight processors that accepts tasks. */
export function makeWorker (
  id: string, changes: Partial<WorkerEntry> = {}, state: Partial<WorkerState> = {}
): WorkerState {
  const entry: WorkerEntry = {
    id,
    pool: 'pool',
    address: '',
    failureDomain: 'a',
    draining: false,
    leavesInMs: undefined,
    capacity: { cpuMillis: 8000, memoryMb: 8000, accelerators: 1 },
    labels: ['small', 'r1'],
    ...changes
  }
  return Object.assign(new WorkerState(entry, 0), { reachable: true, hasAnswered: true }, state)
}
