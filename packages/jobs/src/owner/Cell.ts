import { AccountUsages } from '../accounts/AccountUsages.ts'
import { TrackedJob, StepInstance, type TaskInstance } from '../model/index.ts'
import type { MetricsRecorder, LogWriter } from '../ports.ts'
import { RunTimes } from '../runTimes/RunTimes.ts'
import type { Job, QueueConfiguration, TaskKey } from '../types.ts'
import type { WorkerState } from '../workers/WorkerState.ts'

export interface CellHooks {
  /** Called when a change may allow a task to start. */
  onChange: () => void
  /** Called when the progress of a job has to be stored. */
  onDirty: () => void
  /** See `Cell.isCancelKnown`. Default: always. */
  isCancelKnown?: (job: TrackedJob) => boolean
}

/** In-memory state of a cell that its owner keeps: jobs, workers and the assignment of tasks to workers. */
export class Cell {
  readonly jobs = new Map<string, TrackedJob>()
  /** Jobs that have not ended. */
  readonly active = new Set<TrackedJob>()
  readonly workers = new Map<string, WorkerState>()
  readonly accounts: AccountUsages
  /** Monotonic time of the last answer of the worker registry, in ms. */
  registryReadAt = -Infinity
  /** Jobs whose progress differs from the stored record. */
  readonly dirty = new Set<TrackedJob>()
  readonly log: LogWriter
  readonly metrics: MetricsRecorder
  /** What is known of the run times of tasks and the speeds of workers. */
  readonly runTimes: RunTimes
  readonly #hooks: CellHooks
  /** Priority of the most urgent queues, by pool, and the version of the configuration that it is from. */
  readonly #urgentPriorities = new Map<string, number>()
  #prioritiesVersion: number | undefined
  readonly #configuration: () => QueueConfiguration | undefined

  constructor (
    configuration: () => QueueConfiguration | undefined, log: LogWriter, metrics: MetricsRecorder, hooks: CellHooks,
    { learnsRunTimes = true } = {}
  ) {
    this.runTimes = new RunTimes(learnsRunTimes)
    this.#configuration = configuration
    this.accounts = new AccountUsages(configuration)
    this.log = log
    this.metrics = metrics
    this.#hooks = hooks
  }

  now (): number {
    return performance.now()
  }

  configuration (): QueueConfiguration | undefined {
    return this.#configuration()
  }

  /** Pool for a job's queue in the current configuration, or at acceptance when the queue is no longer configured. */
  poolOf (job: Job): string {
    return this.#configuration()?.queues.find(({ name }) => name === job.queue.name)?.pool ?? job.queue.pool
  }

  /** Whether a step is of one of the most urgent queues of its pool, which the caller has looked up. */
  isUrgent ({ job: { definition } }: StepInstance, pool: string): boolean {
    const configuration = this.#configuration()
    // Configurations have thousands of queues and change rarely.
    if (configuration !== undefined && configuration.version !== this.#prioritiesVersion) {
      this.#prioritiesVersion = configuration.version
      this.#urgentPriorities.clear()
      for (const queue of configuration.queues) {
        const known = this.#urgentPriorities.get(queue.pool) ?? Infinity
        this.#urgentPriorities.set(queue.pool, Math.min(known, queue.priority))
      }
    }
    const { priority } = definition.queue
    return priority <= (this.#urgentPriorities.get(pool) ?? priority)
  }

  findTask (key: TaskKey): TaskInstance | undefined {
    return this.jobs.get(key.job)?.occurrences.get(key.occurrence)?.[key.step]?.tasks[key.index]
  }

  /** Adds a job, before any of its tasks is assigned to a worker. */
  add (job: TrackedJob): void {
    this.jobs.set(job.id, job)
    this.accounts.track(job)
  }

  markDirty (job: TrackedJob): void {
    this.dirty.add(job)
    this.#hooks.onDirty()
  }

  notifyChange (): void {
    this.#hooks.onChange()
  }

  /** Whether the owner has read, or has waited long enough for, a cancel of a job from before it took the cell over. */
  isCancelKnown (job: TrackedJob): boolean {
    return this.#hooks.isCancelKnown?.(job) ?? true
  }

  /** Assigns the next run of a task to a worker. The start order may be sent only after the assignment is stored. */
  assign (task: TaskInstance, worker: WorkerState, run: number): void {
    task.run = run
    task.status = 'starting'
    task.orderSent = false
    task.mayHaveBegun = false
    task.confirmedAt = undefined
    task.orderedAt = undefined
    task.worker = worker.id
    task.ticket = task.step.advice.ticket(worker.id, this.now()) ?? ''
    task.percent = 100
    task.resumed = task.checkpoint !== ''
    task.inherited = false
    task.inheritedStartedBy = undefined
    task.heldBackSince = undefined
    worker.add(task)
    const { job } = task.step
    if (job.state === 'queued') job.state = 'running'
    this.markDirty(job)
  }

  /** Releases the worker of a task whose run no longer exists, and makes the task wait for a new run. */
  requeue (task: TaskInstance): void {
    this.#release(task)
    task.failures = task.step.failuresOf(task)
    task.status = 'waiting'
    task.waitingSince = this.now()
    this.markDirty(task.step.job)
    this.notifyChange()
  }

  /** Marks a task as done, and its step, occurrence and job when it was their last one. */
  completeTask (task: TaskInstance): void {
    const { step } = task
    this.#release(task)
    if (task.status !== 'done') {
      task.status = 'done'
      step.doneCount++
    }
    const { job } = step
    if (step.isDone) {
      const tookMs = Math.round(this.now() - (step.readyAt ?? job.monotonicAcceptedAt))
      this.log.info({ job: job.id, step: step.name, tasks: step.tasks.length, lastTask: task.index, tookMs }, 'step done')
      job.finishOccurrenceIfDone(step.occurrence)
    }
    if (job.state === 'completed') this.endJob(job, 'completed', 'all tasks are done')
    this.markDirty(job)
    this.notifyChange()
  }

  /** Ends a job. The caller must stop the tasks that still run. */
  endJob (job: TrackedJob, state: 'completed' | 'failed' | 'cancelled', reason: string): void {
    if (job.endedAt > 0) return
    job.state = state
    job.endedAt = Date.now()
    this.active.delete(job)
    job.dropUnassigned()
    this.markDirty(job)
    this.metrics.count('jobs_ended', { state })
    this.metrics.recordDuration('job_time', this.now() - job.monotonicAcceptedAt)
    this.log.info({ job: job.id, queue: job.definition.queue.name, state, reason, ageMs: Math.round(this.now() - job.monotonicAcceptedAt) }, 'job ended')
  }

  #release (task: TaskInstance): void {
    if (task.worker !== undefined) this.workers.get(task.worker)?.remove(task)
    task.worker = undefined
    task.orderSent = false
  }
}

/** Steps of active jobs that have waiting tasks and whose preceding steps are done; sets `readyAt` of each. */
export function * readySteps (cell: Cell): Iterable<StepInstance> {
  for (const job of cell.active) {
    if (job.cancelled) continue
    for (const steps of job.occurrences.values()) {
      for (const step of steps) {
        if (step.isDone || !step.tasks.some(({ status }) => status === 'waiting') || !step.isReady()) continue
        step.readyAt ??= cell.now()
        yield step
      }
    }
  }
}
