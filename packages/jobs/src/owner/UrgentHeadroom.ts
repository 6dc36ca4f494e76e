import type { StepInstance } from '../model/index.ts'
import type { WorkerState } from '../workers/WorkerState.ts'

/** Time for which the highest demand of urgent work is remembered, in ms: it comes in waves of 10 to 20 s. */
const MEMORY_MS = 15_000

const BUCKET_MS = 1_000

/** Largest share of a pool's processors that is kept free. */
const MAX_SHARE = 0.25

/** Highest demand in one interval, in thousandths of a processor. */
interface Bucket {
  startedAt: number
  cpuMillis: number
}

/**
 * Keeps room for the most urgent queues of a pool, as much as they lately needed beyond what they use now. Answers
 * bursts of short urgent jobs on a cell that less urgent work fills: such jobs are late when they have to wait until
 * others end or are stopped.
 */
export class UrgentHeadroom {
  readonly #buckets = new Map<string, Bucket[]>()

  /**
   * Computes what less urgent work may take up in a placement round.
   *
   * @param pool - Name of the pool.
   * @param workers - Workers of the pool.
   * @param waiting - Steps of the pool with waiting tasks.
   * @param urgentPriority - Priority of its most urgent queues.
   * @param now - Monotonic time, in ms.
   * @returns Processors, in thousandths, that less urgent queues may take up.
   */
  computeRest (
    pool: string, workers: readonly WorkerState[], waiting: readonly StepInstance[], urgentPriority: number, now: number
  ): number {
    let capacity = 0
    let free = 0
    let urgent = 0
    for (const { acceptsTasks, entry, usedCpuMillis, tasks } of workers) {
      if (acceptsTasks) {
        capacity += entry.capacity.cpuMillis
        free += Math.max(0, entry.capacity.cpuMillis - usedCpuMillis)
      }
      for (const { step } of tasks) if (isUrgent(step, urgentPriority)) urgent += step.spec.demand.cpuMillis
    }
    let demand = urgent
    for (const step of waiting) {
      if (!isUrgent(step, urgentPriority)) continue
      for (const { status } of step.tasks) if (status === 'waiting') demand += step.spec.demand.cpuMillis
    }
    const peak = this.#record(pool, demand, now)
    return free - Math.min(MAX_SHARE * capacity, Math.max(0, peak - urgent))
  }

  /** Records a demand and returns the highest one that is remembered. */
  #record (pool: string, cpuMillis: number, now: number): number {
    const buckets = (this.#buckets.get(pool) ?? []).filter(({ startedAt }) => now - startedAt < MEMORY_MS)
    const last = buckets.at(-1)
    if (last === undefined || now - last.startedAt >= BUCKET_MS) buckets.push({ startedAt: now, cpuMillis })
    else last.cpuMillis = Math.max(last.cpuMillis, cpuMillis)
    this.#buckets.set(pool, buckets)
    return Math.max(...buckets.map((bucket) => bucket.cpuMillis))
  }
}

/** Whether a step counts as urgent; work that runs until it is cancelled doesn't come in bursts. */
function isUrgent ({ job, spec }: StepInstance, urgentPriority: number): boolean {
  return !spec.longRunning && job.definition.queue.priority <= urgentPriority
}
