import type { StepInstance } from '../../model/index.ts'
import type { WorkerState } from '../../workers/WorkerState.ts'
import { fitsWhenEmpty } from '../fitsWhenEmpty/index.ts'

/**
 * Chooses the worker that is expected to have room for a task of a step first: the allowed one with the most free CPU.
 *
 * @param step - The step.
 * @param workers - All workers of the pool.
 * @param reserved - Workers that are reserved already.
 * @returns The worker, or undefined when none could run the task.
 */
export function chooseReservation (
  step: StepInstance, workers: readonly WorkerState[], reserved: ReadonlyMap<WorkerState, unknown>
): WorkerState | undefined {
  const counts = step.countByWorker()
  let best: WorkerState | undefined
  for (const worker of workers) {
    if (!worker.acceptsTasks || reserved.has(worker) || !fitsWhenEmpty(step, worker)) continue
    if (step.job.definition.queue.advice !== undefined && step.advice.isAllowed(worker.id) !== true) continue
    if (step.spec.maxPerWorker > 0 && (counts.get(worker.id) ?? 0) >= step.spec.maxPerWorker) continue
    if (worker.hasRoom(step.spec)) continue
    if (best === undefined || freeCpu(worker) > freeCpu(best)) best = worker
  }
  return best
}

function freeCpu ({ entry, usedCpuMillis }: WorkerState): number {
  return entry.capacity.cpuMillis - usedCpuMillis
}
