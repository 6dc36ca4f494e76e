import type { StepInstance, TaskInstance } from '../../model/index.ts'
import type { WorkerState } from '../../workers/WorkerState.ts'
import { hasUnclaimedCpu } from '../chooseWorker/index.ts'
import { fitsWhenEmpty } from '../fitsWhenEmpty/index.ts'

/** What keeps a task off a worker. */
export type Obstacle = Unavailability | 'unsuitable' | 'notAllowed' | 'failedOn' | 'stepLimit' | 'noRoom' |
  'cpuClaimed' | HealthObstacle | 'reserved' | 'notAsked' | 'ticketExpired'

/** Why a worker accepts no tasks at all. */
type Unavailability = 'draining' | 'unlisted' | 'notPolled' | 'unreachable' | 'recordedAsLost' | 'outdatedEntry' |
  'unownedRuns'

/**
 * What keeps a task off a worker with recent failures:
 * - `breakerOpen`: the cooldown of its breaker lasts.
 * - `probed`: another task runs there as a probe.
 * - `lastAttempt`: a task has failed there since the last success, and this one has a single attempt left.
 */
export type HealthObstacle = 'breakerOpen' | 'probed' | 'lastAttempt'

interface Options {
  /** Monotonic time, in ms. */
  now: number
  /** What keeps the task off the worker because of its recent failures, if anything does. */
  findHealthObstacle: (worker: WorkerState) => HealthObstacle | undefined
  /** Whether the worker is kept free for another task. */
  isReserved: (worker: WorkerState) => boolean
  /** Whether a filler task may start where other tasks have claimed the CPU that it demands. Default: false. */
  sharesClaimedCpu?: boolean
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
  task: TaskInstance, worker: WorkerState, tasksOfStep: number, options: Options
): Obstacle | undefined {
  const { now, findHealthObstacle, isReserved, sharesClaimedCpu = false } = options
  const { step } = task
  const { maxPerWorker } = step.spec
  if (!worker.acceptsTasks) return findUnavailability(worker)
  if (!fitsWhenEmpty(step, worker)) return 'unsuitable'
  if (needsTicket(step) && step.advice.isAllowed(worker.id) === false) return 'notAllowed'
  if (task.failedOn.has(worker.incarnation)) return 'failedOn'
  if (maxPerWorker > 0 && tasksOfStep >= maxPerWorker) return 'stepLimit'
  if (!worker.hasRoom(step.spec)) return 'noRoom'
  if (step.spec.fills && !sharesClaimedCpu && !hasUnclaimedCpu(step, worker)) return 'cpuClaimed'
  const healthObstacle = findHealthObstacle(worker)
  if (healthObstacle !== undefined) return healthObstacle
  if (isReserved(worker)) return 'reserved'
  if (!needsTicket(step)) return undefined
  if (step.advice.isAllowed(worker.id) === undefined) return 'notAsked'
  return step.advice.ticket(worker.id, now) === undefined ? 'ticketExpired' : undefined
}

function findUnavailability (worker: WorkerState): Unavailability {
  if (worker.entry.draining) return 'draining'
  if (worker.unlistedSince !== undefined) return 'unlisted'
  if (!worker.hasAnswered) return 'notPolled'
  if (!worker.reachable) return 'unreachable'
  if (worker.isRecordedAsLost) return 'recordedAsLost'
  return worker.mayOwn() ? 'unownedRuns' : 'outdatedEntry'
}

function needsTicket ({ job }: StepInstance): boolean {
  return job.definition.queue.advice !== undefined
}
