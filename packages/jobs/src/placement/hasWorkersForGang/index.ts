import type { StepInstance } from '../../model/index.ts'
import type { WorkerState } from '../../workers/WorkerState.ts'
import { countRoom } from '../countRoom/index.ts'
import { fitsWhenEmpty } from '../fitsWhenEmpty/index.ts'
import { keepLongRunning } from '../keepLongRunning/index.ts'

/**
 * Tells whether the tasks of a gang would have room at the same time if the workers ran nothing
 * else but long-running tasks.
 *
 * @param step - The step of the gang.
 * @param workers - All workers of the pool.
 * @returns False if the workers that accept tasks, and that the policy is not known to exclude, are too few.
 */
export function hasWorkersForGang (step: StepInstance, workers: readonly WorkerState[]): boolean {
  const needsTicket = step.job.definition.queue.advice !== undefined
  let room = 0
  for (const worker of workers) {
    if (!worker.acceptsTasks || !fitsWhenEmpty(step, worker)) continue
    if (needsTicket && step.advice.isAllowed(worker.id) === false) continue
    room += countRoom(step, keepLongRunning(worker), 0)
    if (room >= step.tasks.length) return true
  }
  return false
}
