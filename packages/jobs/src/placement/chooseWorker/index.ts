import { FILL_SHARE } from '../../constants/index.ts'
import type { StepRun, TaskRun } from '../../book/index.ts'
import type { WorkerState } from '../../workers/WorkerState.ts'

interface Options {
  /** Steady time, in ms. */
  now: number
  /** Whether the worker may take tasks beside its state, such as for its failures. Default: any worker may. */
  isHealthy?: (worker: WorkerState) => boolean
  /** Whether the worker is kept for somebody else. Default: none is. */
  isReserved?: (worker: WorkerState) => boolean
  /** Workers that one rack restricts a gang to. Default: all racks. */
  rack?: string
  /** Workers without a ticket are candidates too; used to find out whether asking for advice pays. Default: false. */
  ignoreTickets?: boolean
}

/** Weight of a run on a slow worker against an unpacked one: a task that ends late costs more than a fragment. */
const SLOWNESS_WEIGHT = 0.5

/** Cost of putting serving tasks beside filling ones, which disturb them, in shares of a worker. */
const DISTURBANCE_COST = 0.6

/** Cost of a rack without the data, in shares of a worker; the task takes longer by the platform's spread factor. */
const OTHER_RACK_COST = 1.5

/**
 * Chooses the worker for one task: among those that may run it, the one that it leaves least room on, so that large
 * tasks still find room. Filling tasks go where most processors are left over.
 *
 * @param task - The task.
 * @param workers - All workers of the pool.
 * @param options - Limits beyond the state of the workers.
 * @returns The worker, or undefined when no worker can take the task now.
 */
export function chooseWorker (
  task: TaskRun, workers: Iterable<WorkerState>, options: Options
): WorkerState | undefined {
  const { step } = task
  const counts = step.spec.maxPerWorker > 0 ? step.countByWorker() : undefined
  let best: WorkerState | undefined
  let bestCost = Infinity
  for (const worker of workers) {
    if (!mayRun(task, worker, counts, options)) continue
    const cost = computeCost(step, worker)
    if (cost < bestCost) {
      best = worker
      bestCost = cost
    }
  }
  return best
}

function mayRun (
  task: TaskRun, worker: WorkerState, counts: Map<string, number> | undefined, options: Options
): boolean {
  const { step } = task
  const { spec } = step
  if (!worker.acceptsTasks || !worker.hasRoom(spec) || task.failedOn.has(worker.id)) return false
  if (spec.requiredLabel !== '' && !worker.entry.labels.includes(spec.requiredLabel)) return false
  if (options.rack !== undefined && !worker.entry.labels.includes(options.rack)) return false
  if (counts !== undefined && (counts.get(worker.id) ?? 0) >= spec.maxPerWorker) return false
  if (options.isHealthy?.(worker) === false || options.isReserved?.(worker) === true) return false
  if (spec.fills && leftoverCpu(worker) < spec.demand.cpuMillis * FILL_SHARE) return false
  if (step.job.job.queue.advice === undefined) return true
  if (options.ignoreTickets === true) return step.advice.isGood(worker.id) !== false
  return step.advice.ticket(worker.id, options.now) !== undefined
}

function leftoverCpu (worker: WorkerState): number {
  return worker.entry.capacity.cpuMillis - worker.usedCpuMillis - worker.fillCpuMillis
}

function computeCost (step: StepRun, worker: WorkerState): number {
  const { spec } = step
  const { capacity, labels } = worker.entry
  const freeCpu = (leftoverCpu(worker) - spec.demand.cpuMillis) / capacity.cpuMillis
  const freeMemory = (capacity.memoryMb - worker.usedMemoryMb - spec.demand.memoryMb) / capacity.memoryMb
  let cost = spec.fills ? -freeCpu : Math.max(freeCpu, 0) + freeMemory
  if (!spec.longRunning) cost += SLOWNESS_WEIGHT * (worker.slowness - 1)
  if (spec.preferredRack !== '' && !labels.includes(spec.preferredRack)) cost += OTHER_RACK_COST
  if (spec.targetLatencyMs > 0 && worker.fillCpuMillis > 0) cost += DISTURBANCE_COST
  if (spec.fills) {
    for (const { step: other } of worker.tasks) if (other.spec.targetLatencyMs > 0) cost += DISTURBANCE_COST
  }
  return cost
}
