import type { StepInstance } from '../../model/index.ts'
import type { WorkerState } from '../../workers/WorkerState.ts'
import { fitsWhenEmpty } from '../fitsWhenEmpty/index.ts'
import { keepLongRunning } from '../keepLongRunning/index.ts'

/**
 * Chooses the worker that is expected to have room for a task of a step first: the allowed one with the most free CPU,
 * unless long-running tasks keep it too small.
 *
 * @param step - The step.
 * @param workers - All workers of the pool.
 * @param reserved - Workers that are reserved already.
 * @returns The worker, or undefined when none could run the task.
 */
export function chooseReservation (
  step: StepInstance, workers: readonly WorkerState[], reserved: ReadonlyMap<WorkerState, unknown>
): WorkerState | undefined {
  const { maxPerWorker } = step.spec
  const counts = maxPerWorker > 0 ? step.countByWorker() : undefined
  const needsTicket = step.job.definition.queue.advice !== undefined
  let best: WorkerState | undefined
  let mostFreeCpu = -Infinity
  for (const worker of workers) {
    // The costlier checks come last: few workers have more free CPU than the best one so far.
    const free = freeCpu(worker)
    if (free <= mostFreeCpu || worker.hasRoom(step.spec)) continue
    if (!worker.acceptsTasks || reserved.has(worker) || !fitsWhenEmpty(step, worker)) continue
    if (needsTicket && step.advice.isAllowed(worker.id) !== true) continue
    if (counts !== undefined && (counts.get(worker.id) ?? 0) >= maxPerWorker) continue
    if (!keepLongRunning(worker).hasRoom(step.spec)) continue
    best = worker
    mostFreeCpu = free
  }
  return best
}

function freeCpu ({ entry, usedCpuMillis }: WorkerState): number {
  return entry.capacity.cpuMillis - usedCpuMillis
}
