import type { StepInstance } from '../model/index.ts'
import type { WorkerState } from '../workers/WorkerState.ts'
import { estimateSlowness } from './estimateSlowness/index.ts'
import type { RunTimesState } from './RunTimesState.ts'
import { quantile } from './quantile/index.ts'

/** Runs of a worker that are kept. At 2 ends per second, a change of its speed shows after 6 s. */
const KEPT_RUNS = 24

/** Fewest runs of a step that are compared with each other. */
const MIN_STEP_RUNS = 3

/** Share of the runs of a step that is left out at each end when its work is estimated. */
const TRIMMED_SHARE = 0.2

/** Time after which a worker that is no longer registered is forgotten, in ms. */
const FORGET_MS = 600_000

/** Shortest run time that is compared, in ms: the time until an end is noticed would outweigh the speed. */
const MIN_RUN_MS = 100

/** Most workers that are stored; one takes 25 bytes of the row. */
const MAX_STORED_WORKERS = 1_000

/** Runs that the estimate of an earlier owner counts as. */
const RESTORED_RUNS = 8

/** Range of the speeds in a pool. */
export interface SpeedRange {
  /** Run time on a slow worker (9 of 10 are at least as fast) and on a fast one, relative to the mean speed. */
  slow: number
  fast: number
}

interface StepRun {
  worker: string
  /** Logarithm of the run time in ms. */
  log: number
  /** The run was stopped, and would have taken longer. */
  isStopped: boolean
}

interface KnownWorker {
  /** Logarithms of run times relative to the other runs of their steps; a ring. */
  ratios: number[]
  next: number
  /** Estimated logarithm of its run times relative to the others; without regard to whether the difference is clear. */
  log: number
  isClear: boolean
  seenAt: number
}

/**
 * Learns how slow each worker is relative to the others of its pool, by comparing the runs of a step with each other:
 * the tasks of a step do similar work, whatever their declared run time. Sets `WorkerState.slowdown`, which stays 1
 * unless a difference is clear.
 */
export class WorkerSpeeds {
  readonly #steps = new WeakMap<StepInstance, StepRun[]>()
  readonly #workers = new Map<string, KnownWorker>()
  readonly #ranges = new Map<string, SpeedRange>()

  /** Speeds in a pool; undefined while all its workers count as equal. */
  rangeOf (pool: string): SpeedRange | undefined {
    return this.#ranges.get(pool)
  }

  /**
   * Records a run that took `runMs` for a task of its step.
   *
   * @param isStopped - The run was stopped because it took long, and would have taken longer.
   */
  recordRun (worker: WorkerState, step: StepInstance, runMs: number, isStopped = false): void {
    if (runMs < MIN_RUN_MS) return
    const run = { worker: worker.id, log: Math.log(runMs), isStopped }
    const runs = this.#steps.get(step)
    if (runs === undefined) this.#steps.set(step, [run])
    else runs.push(run)
  }

  /** Compares the runs of a step that is done. */
  recordStep (step: StepInstance, now: number): void {
    const runs = this.#steps.get(step) ?? []
    this.#steps.delete(step)
    const work = runs.filter(({ isStopped }) => !isStopped).map(({ worker, log }) => log - this.#logOf(worker))
    if (work.length < MIN_STEP_RUNS) return
    const typical = trimmedMean(work)
    for (const { worker, log, isStopped } of runs) {
      const ratio = log - typical
      // A stopped run shows only that the worker is at least that slow.
      if (!isStopped || ratio > this.#logOf(worker)) this.#addRatio(worker, ratio, now)
    }
  }

  /** Updates the slowdown of the workers. `now` is monotonic time in ms. */
  refresh (workers: Iterable<WorkerState>, now: number): void {
    const pools = new Map<string, WorkerState[]>()
    for (const worker of workers) {
      const { pool } = worker.entry
      const members = pools.get(pool)
      if (members === undefined) pools.set(pool, [worker])
      else members.push(worker)
    }
    for (const pool of this.#ranges.keys()) if (!pools.has(pool)) this.#ranges.delete(pool)
    for (const [pool, members] of pools) this.#refreshPool(pool, members, now)
    for (const [id, { seenAt }] of this.#workers) if (now - seenAt > FORGET_MS) this.#workers.delete(id)
  }

  /** Returns the workers whose speeds differ clearly, for a later owner. */
  snapshot (): RunTimesState['workers'] {
    return [...this.#workers].filter(([, { isClear }]) => isClear).slice(0, MAX_STORED_WORKERS)
      .map(([id, { log }]) => [id, Math.round(log * 20) / 20])
  }

  /** Restores what an earlier owner has learned, as if it were a few runs. */
  restore (workers: RunTimesState['workers'], now: number): void {
    for (const [id, log] of workers) {
      for (let run = 0; run < RESTORED_RUNS; run++) this.#addRatio(id, log, now)
      this.#workers.get(id)!.log = log
    }
  }

  #refreshPool (pool: string, workers: readonly WorkerState[], now: number): void {
    const estimates = estimateSlowness(workers.map(({ id, entry }) =>
      ({ id, labels: entry.labels, ratios: this.#workers.get(id)?.ratios ?? [] })))
    for (const worker of workers) {
      const { log, isClear } = estimates.get(worker.id)!
      const known = this.#workers.get(worker.id)
      if (known !== undefined) {
        known.log = log
        known.isClear = isClear
        known.seenAt = now
      }
      worker.slowdown = isClear ? Math.exp(log) : 1
    }
    if (workers.every(({ slowdown }) => slowdown === 1)) this.#ranges.delete(pool)
    else {
      const sorted = Float64Array.from(workers, ({ slowdown }) => slowdown).sort()
      this.#ranges.set(pool, { fast: quantile(sorted, 0.1), slow: quantile(sorted, 0.9) })
    }
  }

  #logOf (worker: string): number {
    return this.#workers.get(worker)?.log ?? 0
  }

  #addRatio (id: string, ratio: number, now: number): void {
    let worker = this.#workers.get(id)
    if (worker === undefined) {
      worker = { ratios: [], next: 0, log: 0, isClear: false, seenAt: now }
      this.#workers.set(id, worker)
    }
    worker.ratios[worker.next] = ratio
    worker.next = (worker.next + 1) % KEPT_RUNS
  }
}

/** Mean without the lowest and highest values. A median would follow whichever kind of worker has most of the runs. */
function trimmedMean (values: readonly number[]): number {
  const sorted = Float64Array.from(values).sort()
  const trimmed = Math.max(1, Math.floor(TRIMMED_SHARE * sorted.length))
  const kept = sorted.subarray(trimmed, sorted.length - trimmed)
  return kept.reduce((sum, value) => sum + value, 0) / kept.length
}
