import type { Demand, Job, JobState, Step, TaskKey } from '../types.ts'
import { AdviceState } from './AdviceState.ts'
import type { Progress } from './progress.ts'
import { StepGraph } from './StepGraph.ts'

/**
 * - `waiting`: the task has no run, and no start order that could still create one is in flight.
 * - `starting`: a run is stored or about to be stored; the worker may or may not have started it.
 * - `running`: the worker has confirmed the run.
 * - `stopping`: the owner has decided to stop the run, which still uses the worker's resources.
 * - `done`: a run has succeeded.
 */
export type TaskStatus = 'waiting' | 'starting' | 'running' | 'stopping' | 'done'

/** One task of one occurrence of a job. Each attempt to execute it is a run, identified by its number. */
export class TaskInstance {
  readonly step: StepInstance
  readonly index: number
  status: TaskStatus = 'waiting'
  /** Number of the current or latest run; 0 before the first. */
  run = 0
  /**
   * Failed runs of the task, or of its gang. Those of a gang don't include the run that the task still has, so that the
   * ends of several members count as one failure, also when several owners read them.
   */
  failures = 0
  /** Id of the worker that executes the run or may execute it. */
  worker: string | undefined
  #ownCheckpoint = ''
  /** The run began with the progress of an earlier one. */
  resumed = false
  /**
   * Monotonic time at which the worker confirmed the run, in ms; 0 before the first run. While a run is `stopping`, the
   * time at which the stop was confirmed, or Infinity until then.
   */
  startedAt = 0
  waitingSince: number
  /**
   * Incarnations of workers on which a run of the task has failed or was overdue, or which refused it as `unhealthy` or
   * `invalid`.
   */
  readonly failedOn = new Set<string>()
  /** How often a run was stopped because it was overdue. */
  overdueStops = 0
  /** How often a run was stopped to make room for a more urgent task. */
  preemptions = 0
  /**
   * Monotonic time since which only workers with recent failures could take the task, in ms; undefined otherwise, and
   * not used for tasks that have failed themselves.
   */
  heldBackSince: number | undefined
  /**
   * The run was stored by an earlier owner. The first poll of the worker fences that owner's orders, so its report
   * shows whether the run exists.
   */
  inherited = false
  /** Monotonic time by which an inherited run has started, in ms, if earlier owners have recorded it. */
  inheritedStartedBy: number | undefined
  /** A start order for the current run may have been sent. */
  orderSent = false
  /** A start order for the current run may have reached the worker. */
  mayHaveBegun = false
  /** Monotonic time at which the worker first confirmed the current run to this owner, in ms; undefined before. */
  confirmedAt: number | undefined
  /** Monotonic time of the first start order for the current run, in ms; undefined if another owner sent it. */
  orderedAt: number | undefined
  /** Ticket of the policy service for the worker; empty when the queue has no policy. */
  ticket = ''
  /** Whether a task whose run is being stopped gets a new run or is dropped with its job. No code reads it yet. */
  afterStop: 'wait' | 'drop' = 'wait'
  /** Pace or progress of the run as last reported by the worker, in percent; see `RunningTask`. */
  percent = 100

  constructor (step: StepInstance, index: number, now: number) {
    this.step = step
    this.index = index
    this.waitingSince = now
  }

  get key (): TaskKey {
    return { job: this.step.job.id, occurrence: this.step.occurrence, step: this.step.index, index: this.index }
  }

  /** Latest checkpoint; empty before the first. The members of a gang share the one that any of them has reported. */
  get checkpoint (): string {
    return this.step.spec.gang ? this.step.gangCheckpoint : this.#ownCheckpoint
  }

  set checkpoint (checkpoint: string) {
    if (this.step.spec.gang) this.step.gangCheckpoint = checkpoint
    else this.#ownCheckpoint = checkpoint
  }

  /** The members of its gang, whose runs are one; the task alone if it is in none. */
  get members (): readonly TaskInstance[] {
    return this.step.spec.gang ? this.step.tasks : [this]
  }

  get isAssigned (): boolean {
    return this.status === 'starting' || this.status === 'running' || this.status === 'stopping'
  }
}

/** One step of one occurrence of a job. */
export class StepInstance {
  readonly job: TrackedJob
  readonly occurrence: number
  readonly index: number
  readonly spec: Step
  readonly tasks: TaskInstance[]
  readonly advice = new AdviceState()
  /** Latest checkpoint that a member of the gang has reported; empty before the first and for other steps. */
  gangCheckpoint = ''
  doneCount = 0
  /** Failure domain that the tasks share as far as there is room; undefined before the first placement. */
  failureDomain: string | undefined
  /** Monotonic time at which the step became ready to start; undefined before that. */
  readyAt: number | undefined

  constructor (job: TrackedJob, occurrence: number, index: number, now: number) {
    this.job = job
    this.occurrence = occurrence
    this.index = index
    this.spec = job.spec.steps[index]!
    this.tasks = Array.from({ length: this.spec.count }, (_, position) => new TaskInstance(this, position, now))
  }

  get isDone (): boolean {
    return this.doneCount === this.tasks.length
  }

  get name (): string {
    return `${this.job.id}.${this.occurrence}.${this.index}`
  }

  /** Expected run time of one task on a worker of mean speed, in ms; 0 when unknown. */
  get expectedRunMs (): number {
    return this.job.expectedRunMs(this.index)
  }

  /** Number of failed runs of a task, or of its gang. */
  failuresOf (task: TaskInstance): number {
    return Math.max(...task.members.map(({ failures }) => failures))
  }

  /**
   * Gives all members of a gang the highest count, unless only some still have the present run. Owners of earlier
   * versions store other counts for members that have it.
   */
  alignFailures (): void {
    if (!this.spec.gang) return
    const assigned = this.tasks.filter(({ isAssigned }) => isAssigned).length
    if (assigned > 0 && assigned < this.tasks.length) return
    const failures = Math.max(...this.tasks.map((task) => task.failures))
    for (const task of this.tasks) task.failures = failures
  }

  /** Counts the present run of a task, or of its gang, as failed. */
  countFailure (task: TaskInstance): void {
    const failures = task.failures + 1
    for (const member of task.members) {
      if (member === task || !member.isAssigned) member.failures = failures
    }
  }

  /** Number of the step's tasks that are assigned to each worker. */
  countByWorker (): Map<string, number> {
    const counts = new Map<string, number>()
    for (const { isAssigned, worker } of this.tasks) {
      if (isAssigned && worker !== undefined) counts.set(worker, (counts.get(worker) ?? 0) + 1)
    }
    return counts
  }

  /** Whether all steps that this one depends on are done. */
  isReady (): boolean {
    const steps = this.job.occurrences.get(this.occurrence)!
    return this.job.graph.dependenciesOf(this.index).every((earlier) => steps[earlier]!.isDone)
  }
}

/** What a client account has running, or may have running; changes with each task that is assigned or released. */
export type AccountUsage = Demand

/** The owner's in-memory state of a job. */
export class TrackedJob {
  readonly definition: Job
  /** Usage of the job's client account; undefined for a job without one. */
  accountUsage: AccountUsage | undefined
  readonly occurrences = new Map<number, StepInstance[]>()
  readonly finishedOccurrences = new Set<number>()
  state: JobState = 'queued'
  /** State as of the last successful write to the store. Callers see only this one. */
  storedState: JobState = 'queued'
  /** Unix time at which the job ended, in ms; 0 while it is active. */
  endedAt = 0
  /** Monotonic time of acceptance, in ms; at most 10 minutes before the owner loaded the job. */
  readonly monotonicAcceptedAt: number
  cancelled = false
  readonly graph: StepGraph
  /** Number of tasks of one occurrence. */
  readonly taskCount: number
  #learnedRunMs: ReadonlyArray<number | undefined> = []
  /** Result of `graph.computePathsMs` for the expected run times; undefined until it is needed. */
  #pathsMs: readonly number[] | undefined
  /** A worker has confirmed a run of at least one task. */
  started = false
  /** The client account had sent more jobs than its share when the job was accepted. `ShareMeter` sets it. */
  beyondShare = false

  constructor (job: Job, now: number, wallNow: number) {
    this.definition = job
    this.graph = new StepGraph(job.spec.steps)
    this.taskCount = job.spec.steps.reduce((sum, { count }) => sum + count, 0)
    this.monotonicAcceptedAt = now - Math.max(0, Math.min(wallNow - job.acceptedAt, 600_000))
  }

  get id (): string {
    return this.definition.id
  }

  get spec () {
    return this.definition.spec
  }

  get isOver (): boolean {
    return this.state === 'completed' || this.state === 'failed' || this.state === 'cancelled'
  }

  get occurrenceCount (): number {
    return Math.max(1, this.spec.occurrences)
  }

  /** Unix time at which an occurrence is due, in ms; 0 when it is due immediately. */
  dueAt (occurrence: number): number {
    return this.spec.occurrences === 0 ? 0 : this.spec.firstRunAt + occurrence * this.spec.intervalMs
  }

  /** Expected run time of one task of a step on a worker of mean speed, in ms; 0 when unknown. */
  expectedRunMs (step: number): number {
    return this.#learnedRunMs[step] ?? this.spec.steps[step]?.estimatedRunMs ?? 0
  }

  /** Sets the learned run time of one task of each step, in ms; undefined where the declared one is expected. */
  setLearnedRunMs (learnedRunMs: ReadonlyArray<number | undefined>): void {
    this.#learnedRunMs = learnedRunMs
    this.#pathsMs = undefined
  }

  /** Expected time from the start of a step to the end of its occurrence, in ms. */
  expectedPathMs (step: number): number {
    return this.#expectedPathsMs[step]!
  }

  /** Expected time from the start to the end of an occurrence, in ms. */
  get criticalPathMs (): number {
    return Math.max(...this.#expectedPathsMs)
  }

  /** Kept, since placement rounds rank all waiting steps by it, several times a second. */
  get #expectedPathsMs (): readonly number[] {
    this.#pathsMs ??= this.graph.computePathsMs((step) => this.expectedRunMs(step))
    return this.#pathsMs
  }

  /** Returns the steps of an occurrence, and creates them with their tasks on the first call. */
  openOccurrence (occurrence: number, now: number): StepInstance[] {
    const existing = this.occurrences.get(occurrence)
    if (existing !== undefined) return existing
    const steps = this.spec.steps.map((_, index) => new StepInstance(this, occurrence, index, now))
    this.occurrences.set(occurrence, steps)
    return steps
  }

  /** All tasks of the occurrences that have been opened and are not finished. */
  * tasks (): Iterable<TaskInstance> {
    for (const steps of this.occurrences.values()) for (const step of steps) yield * step.tasks
  }

  /** Marks the occurrence as finished if all its steps are done, and completes the job with the last occurrence. */
  finishOccurrenceIfDone (occurrence: number): void {
    const steps = this.occurrences.get(occurrence)
    if (steps === undefined || !steps.every((step) => step.isDone)) return
    this.occurrences.delete(occurrence)
    this.finishedOccurrences.add(occurrence)
    if (this.finishedOccurrences.size === this.occurrenceCount) this.state = 'completed'
  }

  /** Frees the tasks of occurrences without a run, once the job has ended: its state is kept for minutes. */
  dropUnassigned (): void {
    for (const [occurrence, steps] of this.occurrences) {
      const isAssigned = steps.some(({ tasks }) => tasks.some((task) => task.isAssigned))
      if (!isAssigned) this.occurrences.delete(occurrence)
    }
  }

  /**
   * Restores what an earlier owner has stored. Tasks that may be running are `starting` until their worker has been
   * polled.
   *
   * @param startedBy - Monotonic time by which their runs have started, in ms, if it is known.
   */
  restore (progress: Progress, now: number, startedBy?: number): void {
    this.state = progress.state
    this.storedState = progress.state
    this.endedAt = progress.endedAt
    this.started = progress.finishedSteps.length > 0 || progress.finishedOccurrences.length > 0 ||
      progress.tasks.some(({ status, run }) => status === 'done' || run > 1)
    for (const occurrence of progress.finishedOccurrences) this.finishedOccurrences.add(occurrence)
    for (const [occurrence, index] of progress.finishedSteps) {
      const step = this.openOccurrence(occurrence, now)[index]
      for (const task of step?.tasks ?? []) markDone(task)
    }
    for (const record of progress.tasks) {
      const task = this.openOccurrence(record.occurrence, now)[record.step]?.tasks[record.index]
      if (task === undefined) continue
      task.run = record.run
      task.failures = record.failures
      task.checkpoint = record.checkpoint
      if (record.status === 'done') markDone(task)
      if (record.status !== 'assigned') continue
      task.status = 'starting'
      task.orderSent = true
      task.mayHaveBegun = true
      task.worker = record.worker
      task.inherited = true
      task.inheritedStartedBy = startedBy
    }
    for (const steps of this.occurrences.values()) for (const step of steps) step.alignFailures()
  }
}

function markDone (task: TaskInstance): void {
  if (task.status === 'done') return
  task.status = 'done'
  task.step.doneCount++
}
