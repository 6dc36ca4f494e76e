import { MIN_FILLER_CPU_SHARE } from '../../constants/index.ts'
import type { StepInstance, TaskInstance } from '../../model/index.ts'
import { computeSpeedCost, type SpeedPreference } from '../../runTimes/chooseSpeedPreference/index.ts'
import type { WorkerState } from '../../workers/WorkerState.ts'

interface Options {
  /** Monotonic time, in ms. */
  now: number
  /** Additional check of the worker, for example of its recent failures. Default: all workers pass. */
  isHealthy?: (worker: WorkerState) => boolean
  /** Whether the worker is reserved for another task. Default: none is. */
  isReserved?: (worker: WorkerState) => boolean
  /** Additional cost of the worker, in units of one worker's capacity. Default: none. */
  extraCost?: (worker: WorkerState) => number
  /** Whether the step should have fast or slow workers. Default: their speeds make no difference. */
  speed?: SpeedPreference
  /** Rack label that the worker must have, for gangs placed on one rack. Default: any rack. */
  rack?: string
  /**
   * Also considers workers without a ticket unless the policy is known to exclude them. Used to check whether an advice
   * call could lead to a placement. Default: false.
   */
  ignoreTickets?: boolean
  /** Whether a filler task may start where other tasks have claimed the CPU that it demands. Default: false. */
  sharesClaimedCpu?: boolean
}

/**
 * Weight of a worker's run times relative to the declared ones, while no speeds are learned: a late task costs more
 * than some fragmentation.
 */
const DECLARED_RATIO_WEIGHT = 0.5

/** Cost of another failure domain than the one that the tasks of the step share, in units of one worker's capacity. */
const OTHER_DOMAIN_COST = 1

/** Cost of interference between serving and filler tasks on the same worker, in units of one worker's capacity. */
const INTERFERENCE_COST = 0.6

/**
 * Cost of a rack without the input data, in units of one worker's capacity. A task runs longer there, by a factor that
 * the platform defines.
 */
const OTHER_RACK_COST = 1.5

/**
 * Chooses a worker for one task. Among the workers that may run it, prefers the one with the least free resources (best
 * fit), so that large tasks still find room. Filler tasks go to the worker with the most unclaimed CPU.
 *
 * @param task - The task.
 * @param workers - All workers of the pool.
 * @param options - Restrictions beyond the state of the workers.
 * @returns The worker, or undefined when no worker can run the task now.
 */
export function chooseWorker (
  task: TaskInstance, workers: Iterable<WorkerState>, options: Options
): WorkerState | undefined {
  const { step } = task
  const counts = countIfLimited(step)
  let best: WorkerState | undefined
  let bestCost = Infinity
  for (const worker of workers) {
    if (!worker.hasRoom(step.spec) || !mayRunWithRoom(task, worker, counts, options)) continue
    const cost = computeCost(step, worker, options.speed) + (options.extraCost?.(worker) ?? 0)
    if (cost < bestCost) {
      best = worker
      bestCost = cost
    }
  }
  return best
}

/**
 * Finds the workers that could run a task if they had room for it.
 *
 * @param task - The task.
 * @param workers - Workers to choose from.
 * @param options - Restrictions beyond the state of the workers.
 * @returns The workers on which everything but the free resources allows the task to start, in the given order.
 */
export function filterRunnable (
  task: TaskInstance, workers: readonly WorkerState[], options: Options
): WorkerState[] {
  const counts = countIfLimited(task.step)
  return workers.filter((worker) => mayRunWithRoom(task, worker, counts, options))
}

/** Number of the step's tasks on each worker; undefined if it is not limited. */
function countIfLimited (step: StepInstance): Map<string, number> | undefined {
  return step.spec.maxPerWorker > 0 ? step.countByWorker() : undefined
}

function mayRunWithRoom (
  task: TaskInstance, worker: WorkerState, counts: Map<string, number> | undefined, options: Options
): boolean {
  const { step } = task
  const { spec } = step
  if (!worker.acceptsTasks) return false
  if (task.failedOn.size > 0 && task.failedOn.has(worker.incarnation)) return false
  if (spec.requiredLabel !== '' && !worker.entry.labels.includes(spec.requiredLabel)) return false
  if (options.rack !== undefined && !worker.entry.labels.includes(options.rack)) return false
  if (counts !== undefined && (counts.get(worker.id) ?? 0) >= spec.maxPerWorker) return false
  // The costlier checks come last: a step has tickets for few workers of a large cell.
  if (!isAllowed(step, worker, options)) return false
  if (options.isHealthy?.(worker) === false || options.isReserved?.(worker) === true) return false
  return !spec.fills || options.sharesClaimedCpu === true || hasUnclaimedCpu(step, worker)
}

/**
 * Whether a worker has enough CPU that no other task has claimed for a filler task to start without a wait.
 *
 * @param step - Step of the filler task.
 * @param worker - The worker.
 */
export function hasUnclaimedCpu ({ spec }: StepInstance, worker: WorkerState): boolean {
  return unclaimedCpuMillis(worker) >= spec.demand.cpuMillis * MIN_FILLER_CPU_SHARE
}

/** Whether the policy service lets a step start on a worker. */
function isAllowed ({ job, advice }: StepInstance, { id }: WorkerState, { now, ignoreTickets }: Options): boolean {
  if (job.definition.queue.advice === undefined) return true
  return ignoreTickets === true ? advice.isAllowed(id) !== false : advice.ticket(id, now) !== undefined
}

/** CPU that neither regular nor filler tasks have claimed; negative when filler tasks overcommit the worker. */
function unclaimedCpuMillis (worker: WorkerState): number {
  return worker.entry.capacity.cpuMillis - worker.usedCpuMillis - worker.fillerCpuMillis
}

function computeCost (step: StepInstance, worker: WorkerState, speed: SpeedPreference | undefined): number {
  const { spec } = step
  const { capacity, labels } = worker.entry
  const freeCpu = toShare(unclaimedCpuMillis(worker) - spec.demand.cpuMillis, capacity.cpuMillis)
  const freeMemory = toShare(capacity.memoryMb - worker.usedMemoryMb - spec.demand.memoryMb, capacity.memoryMb)
  let cost = spec.fills ? -freeCpu : Math.max(freeCpu, 0) + freeMemory
  if (speed !== undefined) cost += computeSpeedCost(speed, worker.slowdown)
  else if (!spec.longRunning) cost += DECLARED_RATIO_WEIGHT * (worker.declaredRatio - 1)
  if (step.failureDomain !== undefined && step.failureDomain !== worker.entry.failureDomain) cost += OTHER_DOMAIN_COST
  if (spec.preferredRack !== '' && !labels.includes(spec.preferredRack)) cost += OTHER_RACK_COST
  if (spec.targetLatencyMs > 0 && worker.fillerCpuMillis > 0) cost += INTERFERENCE_COST
  if (spec.fills) {
    for (const { step: other } of worker.tasks) if (other.spec.targetLatencyMs > 0) cost += INTERFERENCE_COST
  }
  return cost
}

/** Share of a capacity that some resources are; 0 of a capacity of 0. */
function toShare (resources: number, capacity: number): number {
  return capacity > 0 ? resources / capacity : 0
}
