import type { StepInstance, TaskInstance } from '../../model/index.ts'
import type { WorkerState } from '../../workers/WorkerState.ts'
import { fitsWhenEmpty } from '../fitsWhenEmpty/index.ts'

/** What keeps a task off a worker. */
export type Obstacle = 'unavailable' | 'unsuitable' | 'notAllowed' | 'failedOn' | 'stepLimit' | 'noRoom' | 'suspect' |
  'reserved' | 'notAsked' | 'ticketExpired'

interface Options {
  /** Monotonic time, in ms. */
  now: number
  /** Whether the worker's recent failures let the task start there. */
  isHealthy: (worker: WorkerState) => boolean
  /** Whether the worker is kept free for another task. */
  isReserved: (worker: WorkerState) => boolean
}

/**
 * Counts the workers of a pool by what keeps a task off them. A worker with several obstacles counts for the one that
 * lasts longest.
 *
 * @param task - The task.
 * @param workers - All workers of the pool.
 * @param options - Restrictions beyond the state of the workers.
 * @returns The number of workers by obstacle; those without any are left out.
 */
export function countObstacles (
  task: TaskInstance, workers: Iterable<WorkerState>, options: Options
): Partial<Record<Obstacle, number>> {
  const counts: Partial<Record<Obstacle, number>> = {}
  const tasksByWorker = task.step.countByWorker()
  for (const worker of workers) {
    const obstacle = findObstacle(task, worker, tasksByWorker.get(worker.id) ?? 0, options)
    if (obstacle !== undefined) counts[obstacle] = (counts[obstacle] ?? 0) + 1
  }
  return counts
}

function findObstacle (
  task: TaskInstance, worker: WorkerState, tasksOfStep: number, { now, isHealthy, isReserved }: Options
): Obstacle | undefined {
  const { step } = task
  const { maxPerWorker } = step.spec
  if (!worker.acceptsTasks) return 'unavailable'
  if (!fitsWhenEmpty(step, worker)) return 'unsuitable'
  if (needsTicket(step) && step.advice.isAllowed(worker.id) === false) return 'notAllowed'
  if (task.failedOn.has(worker.id)) return 'failedOn'
  if (maxPerWorker > 0 && tasksOfStep >= maxPerWorker) return 'stepLimit'
  if (!worker.hasRoom(step.spec)) return 'noRoom'
  if (!isHealthy(worker)) return 'suspect'
  if (isReserved(worker)) return 'reserved'
  if (!needsTicket(step)) return undefined
  if (step.advice.isAllowed(worker.id) === undefined) return 'notAsked'
  return step.advice.ticket(worker.id, now) === undefined ? 'ticketExpired' : undefined
}

function needsTicket ({ job }: StepInstance): boolean {
  return job.definition.queue.advice !== undefined
}
