import type { StepInstance, TaskInstance } from '../model/index.ts'
import type { WorkerState } from '../workers/WorkerState.ts'
import { chooseSpeedPreference, type Schedule, type SpeedPreference } from './chooseSpeedPreference/index.ts'
import { WorkerSpeeds } from './WorkerSpeeds.ts'

/** Weight of a new observation in the moving average of a worker's slowdown, while nothing is learned. */
const SLOWDOWN_SMOOTHING = 0.2

/** Preference of all steps while nothing is learned: a late task costs more than some fragmentation. */
const UNLEARNED_PREFERENCE: SpeedPreference = { weight: 0.5, maxSlowdown: Infinity }

/** What the owner learns from ended runs. Without evidence, workers are equal and tasks run as long as declared. */
export class RunTimes {
  readonly #isEnabled: boolean
  readonly #speeds = new WorkerSpeeds()

  constructor (isEnabled: boolean) {
    this.#isEnabled = isEnabled
  }

  /** Chooses which workers of a pool a step should have; undefined when the speed makes no difference. */
  preferenceOf (schedule: Schedule, pool: string, now: number): SpeedPreference | undefined {
    if (this.#isEnabled) return chooseSpeedPreference(schedule, this.#speeds.rangeOf(pool), now)
    return schedule.step.spec.longRunning ? undefined : UNLEARNED_PREFERENCE
  }

  /** Records the successful end of a run. `now` is monotonic time in ms. */
  recordEnd (worker: WorkerState, task: TaskInstance, now: number): void {
    if (!this.#isEnabled) recordSlowdown(worker, task, now)
    else if (isComparable(worker, task)) this.#speeds.recordRun(worker, task.step, now - task.startedAt)
  }

  /** Records a run that is stopped because it is overdue. */
  recordOverdue (worker: WorkerState, task: TaskInstance, now: number): void {
    if (!this.#isEnabled || !isComparable(worker, task)) return
    this.#speeds.recordRun(worker, task.step, now - task.startedAt, true)
  }

  /** Records that all tasks of a step are done. */
  recordStep (step: StepInstance, now: number): void {
    if (this.#isEnabled) this.#speeds.recordStep(step, now)
  }

  /** Updates what is derived from the observations. */
  tick ({ workers }: { workers: ReadonlyMap<string, WorkerState> }, now: number): void {
    if (this.#isEnabled) this.#speeds.refresh(workers.values(), now)
  }
}

/**
 * Whether a run shows how fast its worker is. A gang runs as fast as its slowest member; a filler task uses what others
 * leave; a task without its data is slow on any worker.
 */
function isComparable ({ entry }: WorkerState, task: TaskInstance): boolean {
  const { status, inherited, resumed, percent, step: { spec } } = task
  return status === 'running' && !inherited && !resumed && percent === 100 && !spec.gang && !spec.fills &&
    !spec.longRunning && (spec.preferredRack === '' || entry.labels.includes(spec.preferredRack))
}

/** Compares a run with its declared run time. */
function recordSlowdown (worker: WorkerState, task: TaskInstance, now: number): void {
  const { estimatedRunMs, fills } = task.step.spec
  if (task.status !== 'running' || estimatedRunMs <= 0 || task.checkpoint !== '' || fills) return
  const ratio = Math.min(5, (now - task.startedAt) / estimatedRunMs)
  worker.slowdown += SLOWDOWN_SMOOTHING * (ratio - worker.slowdown)
}
