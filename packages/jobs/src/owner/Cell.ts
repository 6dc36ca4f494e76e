import { TrackedJob, StepInstance, type TaskInstance } from '../model/index.ts'
import type { MetricsRecorder, LogWriter } from '../ports.ts'
import type { Job, QueueConfiguration, TaskKey } from '../types.ts'
import type { WorkerState } from '../workers/WorkerState.ts'

export interface CellHooks {
  /** Something changed that may let a task start. */
  onChange: () => void
  /** A job's progress has to be written. */
  onDirty: () => void
}

/** State of one cell in the memory of its owner: jobs, workers, and which tasks are where. */
export class Cell {
  readonly jobs = new Map<string, TrackedJob>()
  /** Jobs that go on. */
  readonly active = new Set<TrackedJob>()
  readonly workers = new Map<string, WorkerState>()
  /** Jobs whose progress differs from what is stored. */
  readonly dirty = new Set<TrackedJob>()
  readonly log: LogWriter
  readonly counters: MetricsRecorder
  readonly #hooks: CellHooks
  readonly #configuration: () => QueueConfiguration | undefined

  constructor (
    configuration: () => QueueConfiguration | undefined, log: LogWriter, counters: MetricsRecorder, hooks: CellHooks
  ) {
    this.#configuration = configuration
    this.log = log
    this.counters = counters
    this.#hooks = hooks
  }

  now (): number {
    return performance.now()
  }

  configuration (): QueueConfiguration | undefined {
    return this.#configuration()
  }

  /** Pool that runs a job's tasks: what the newest configuration says, or what held when the job was accepted. */
  poolOf (job: Job): string {
    return this.#configuration()?.queues.find(({ name }) => name === job.queue.name)?.pool ?? job.queue.pool
  }

  find (key: TaskKey): TaskInstance | undefined {
    return this.jobs.get(key.job)?.occurrences.get(key.occurrence)?.[key.step]?.tasks[key.index]
  }

  touch (job: TrackedJob): void {
    this.dirty.add(job)
    this.#hooks.onDirty()
  }

  changed (): void {
    this.#hooks.onChange()
  }

  /** Reserves a worker for the next run of a task. The order may be sent only after the run is stored. */
  assign (task: TaskInstance, worker: WorkerState, run: number): void {
    task.run = run
    task.status = 'starting'
    task.orderSent = false
    task.worker = worker.id
    task.ticket = task.step.advice.ticket(worker.id, this.now()) ?? ''
    task.percent = 100
    task.inherited = false
    worker.add(task)
    const { job } = task.step
    if (job.state === 'queued') job.state = 'running'
    this.touch(job)
  }

  /** Notes that no run of the task exists any more, and that it waits for another one. */
  putBack (task: TaskInstance, checkpoint = ''): void {
    this.#release(task)
    if (checkpoint !== '') this.#keepCheckpoint(task, checkpoint)
    task.status = 'waiting'
    task.waitingSince = this.now()
    this.touch(task.step.job)
    this.changed()
  }

  /** Notes that the task has ended well, and what that ends in turn. */
  finish (task: TaskInstance): void {
    const { step } = task
    this.#release(task)
    if (task.status !== 'done') {
      task.status = 'done'
      step.doneCount++
    }
    const { job } = step
    if (step.isDone) {
      const tookMs = Math.round(this.now() - (step.readyAt ?? job.steadyAcceptedAt))
      this.log.info({ job: job.id, step: step.name, tasks: step.tasks.length, lastTask: task.index, tookMs }, 'step done')
      job.finishOccurrenceIfDone(step.occurrence)
    }
    if (job.state === 'completed') this.endJob(job, 'completed', 'all tasks have ended')
    this.touch(job)
    this.changed()
  }

  /** Ends a job. Its tasks that still run must be stopped by the caller. */
  endJob (job: TrackedJob, state: 'completed' | 'failed' | 'cancelled', reason: string): void {
    if (job.endedAt > 0) return
    job.state = state
    job.endedAt = Date.now()
    this.active.delete(job)
    this.touch(job)
    this.counters.count('jobs_ended', { state })
    this.counters.recordDuration('job_time', this.now() - job.steadyAcceptedAt)
    this.log.info({ job: job.id, queue: job.job.queue.name, state, reason, ageMs: Math.round(this.now() - job.steadyAcceptedAt) }, 'job ended')
  }

  #release (task: TaskInstance): void {
    if (task.worker !== undefined) this.workers.get(task.worker)?.remove(task)
    task.worker = undefined
    task.orderSent = false
  }

  /** The checkpoint of any member is valid for a gang, and all must carry the same. */
  #keepCheckpoint (task: TaskInstance, checkpoint: string): void {
    const members: readonly TaskInstance[] = task.step.spec.gang ? task.step.tasks : [task]
    for (const member of members) member.checkpoint = checkpoint
  }
}

/** Steps of the jobs that go on which have waiting tasks and whose turn has come. */
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
