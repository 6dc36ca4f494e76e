import { OVERDUE_EXTRA_MS, OVERDUE_FACTOR } from '../constants/index.ts'
import type { StepInstance, TaskInstance, TrackedJob } from '../model/index.ts'
import type { Cell } from '../owner/Cell.ts'
import type { WorkerState } from '../workers/WorkerState.ts'
import { chooseSpeedPreference, type Schedule, type SpeedPreference } from './chooseSpeedPreference/index.ts'
import { RunTimeEstimator } from './RunTimeEstimator.ts'
import type { RunTimesState } from './RunTimesState.ts'
import { WorkerSpeeds } from './WorkerSpeeds.ts'

/** Interval between updates of what is derived from observations, in ms. */
const REFRESH_MS = 1_000

/** Interval between log lines on what is learned, in ms, and the queues in one. */
const LOG_INTERVAL_MS = 30_000
const MAX_LOGGED_QUEUES = 20

/** Multiple of the longest usual run times after which a run is overdue. */
const LONGEST_FACTOR = 1.25

/** Weight of a new observation in the moving average of the run times on a worker relative to the declared ones. */
const RATIO_SMOOTHING = 0.2

/** What the owner learns from ended runs. Without evidence, workers are equal and tasks run as long as declared. */
export class RunTimes {
  readonly #isEnabled: boolean
  readonly #speeds = new WorkerSpeeds()
  readonly #estimator = new RunTimeEstimator()
  #refreshedAt = -Infinity
  #loggedAt = -Infinity

  constructor (isEnabled: boolean) {
    this.#isEnabled = isEnabled
  }

  /** Chooses which workers of a pool a step should have; undefined when the speed makes no difference. */
  preferenceOf (schedule: Schedule, pool: string, now: number): SpeedPreference | undefined {
    return this.#isEnabled ? chooseSpeedPreference(schedule, this.#speeds.rangeOf(pool), now) : undefined
  }

  /** Records the successful end of a run. `now` is monotonic time in ms. */
  recordEnd (worker: WorkerState, task: TaskInstance, now: number): void {
    recordDeclaredRatio(worker, task, now)
    if (this.#isEnabled) this.#record(worker, task, now, false)
  }

  /** Records a run that is stopped because it is overdue. */
  recordOverdue (worker: WorkerState, task: TaskInstance, now: number): void {
    if (this.#isEnabled) this.#record(worker, task, now, true)
  }

  /** Records that all tasks of a step are done. */
  recordStep (step: StepInstance, now: number): void {
    if (!this.#isEnabled) return
    this.#speeds.recordStep(step, now)
    this.#estimator.recordStep(step)
  }

  /** Sets the expected run times of a job. */
  apply (job: TrackedJob): void {
    if (!this.#isEnabled) return
    job.setLearnedRunMs(job.spec.steps.map((_, index) => this.#estimator.estimate(job, index)))
  }

  /**
   * Returns the time after which a run is overdue, in ms. A task that was moved before may just take longer than
   * expected, so the limit doubles with each time.
   */
  overdueMs (worker: WorkerState, { expectedRunMs, job }: StepInstance, movedCount: number): number {
    const usual = OVERDUE_FACTOR * 2 ** movedCount * expectedRunMs + OVERDUE_EXTRA_MS
    if (!this.#isEnabled) return usual
    // Where nothing is expected, only the limit itself can double.
    if (expectedRunMs <= 0) return OVERDUE_EXTRA_MS * 2 ** movedCount
    const longestMs = expectedRunMs * this.#estimator.longestRatio(job.definition.queue.name)
    const longestHereMs = Math.max(1, worker.slowdown) * longestMs
    return Math.max(usual, LONGEST_FACTOR * 2 ** movedCount * longestHereMs + OVERDUE_EXTRA_MS)
  }

  /** Returns what a later owner needs; undefined when nothing is learned. */
  snapshot (): RunTimesState | undefined {
    return this.#isEnabled ? { workers: this.#speeds.snapshot(), ...this.#estimator.snapshot() } : undefined
  }

  /** Restores what an earlier owner has learned. */
  restore (state: RunTimesState, now: number): void {
    if (!this.#isEnabled) return
    this.#speeds.restore(state.workers, now)
    this.#estimator.restore(state)
  }

  /** Updates what is derived from the observations, at most once per `REFRESH_MS`. `now` is monotonic time in ms. */
  tick ({ workers, active, log, metrics }: Pick<Cell, 'workers' | 'active' | 'log' | 'metrics'>, now: number): void {
    if (!this.#isEnabled || now - this.#refreshedAt < REFRESH_MS) return
    this.#refreshedAt = now
    this.#speeds.refresh(workers.values(), now)
    for (const job of active) this.apply(job)
    if (now - this.#loggedAt < LOG_INTERVAL_MS) return
    this.#loggedAt = now
    const queues = this.#estimator.describe()
    const uneven = [...workers.values()].filter(({ slowdown }) => slowdown !== 1)
    metrics.set('workers_uneven', uneven.length)
    for (const { queue, error } of queues) metrics.set('run_time_error', error, { queue })
    if (queues.length === 0) return
    uneven.sort((a, b) => b.slowdown - a.slowdown)
    const slowest = uneven.slice(0, 3).map(({ id, slowdown }) => `${id} ${slowdown.toFixed(2)}`)
    const fastest = uneven.slice(-3).map(({ id, slowdown }) => `${id} ${slowdown.toFixed(2)}`)
    log.info({ queues: queues.slice(0, MAX_LOGGED_QUEUES), uneven: uneven.length, slowest, fastest }, 'run times')
  }

  #record (worker: WorkerState, task: TaskInstance, now: number, isStopped: boolean): void {
    if (!isComplete(task)) return
    const { step } = task
    const runMs = now - task.startedAt
    if (isComparable(worker, step)) this.#speeds.recordRun(worker, step, runMs, isStopped)
    if (!step.spec.gang || !isStopped) this.#estimator.record(step, runMs / worker.slowdown, isStopped)
  }
}

/**
 * Whether a run has done all the work of its task by itself, and began at a known time. The last reported percentage
 * says nothing about that: it is the progress of the task, which is below 100 in the last report before its end.
 */
function isComplete ({ status, inherited, resumed, step: { spec } }: TaskInstance): boolean {
  return status === 'running' && !inherited && !resumed && !spec.fills && !spec.longRunning
}

/**
 * Whether a run shows how fast its worker is. A gang runs as fast as its slowest member; a task without its data is
 * slow on any worker.
 */
function isComparable ({ entry }: WorkerState, { spec }: StepInstance): boolean {
  return !spec.gang && (spec.preferredRack === '' || entry.labels.includes(spec.preferredRack))
}

/** Compares a run with its declared run time. */
function recordDeclaredRatio (worker: WorkerState, task: TaskInstance, now: number): void {
  const { estimatedRunMs, fills } = task.step.spec
  if (task.status !== 'running' || estimatedRunMs <= 0 || task.checkpoint !== '' || fills) return
  const ratio = Math.min(5, (now - task.startedAt) / estimatedRunMs)
  worker.declaredRatio += RATIO_SMOOTHING * (ratio - worker.declaredRatio)
}
