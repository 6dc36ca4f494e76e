import type { Job, JobState, Step, TaskKey } from '../types.ts'
import { AdviceState } from './AdviceState.ts'
import type { Progress } from './progress.ts'

/**
 * - `waiting`: no run exists, and none can come into existence.
 * - `starting`: a run is recorded or about to be; the order may or may not have been carried out.
 * - `running`: the worker has confirmed the run.
 * - `stopping`: a stop was decided; the run still takes room.
 * - `done`: a run has ended well.
 */
export type TaskStatus = 'waiting' | 'starting' | 'running' | 'stopping' | 'done'

/** One task of one occurrence of a job. */
export class TaskRun {
  readonly step: StepRun
  readonly index: number
  status: TaskStatus = 'waiting'
  /** Highest run number that was used; 0 before the first. */
  run = 0
  failures = 0
  /** Id of the worker's incarnation that holds, or may hold, the run. */
  worker: string | undefined
  checkpoint = ''
  /** Steady time of the confirmation of the run, in ms. */
  startedAt = 0
  waitingSince: number
  /** Workers on which a run of the task has failed or stood still. */
  readonly failedOn = new Set<string>()
  /** Stored by an earlier owner, whose orders the first look at the worker fences. */
  inherited = false
  /** An order for this run may have been sent. */
  ordered = false
  ticket = ''
  /** What to do with the task when a stopping run has ended. */
  afterStop: 'wait' | 'drop' = 'wait'
  percent = 100

  constructor (step: StepRun, index: number, now: number) {
    this.step = step
    this.index = index
    this.waitingSince = now
  }

  get key (): TaskKey {
    return { job: this.step.job.id, occurrence: this.step.occurrence, step: this.step.index, index: this.index }
  }

  get hasRun (): boolean {
    return this.status === 'starting' || this.status === 'running' || this.status === 'stopping'
  }
}

/** One step of one occurrence of a job. */
export class StepRun {
  readonly job: JobRun
  readonly occurrence: number
  readonly index: number
  readonly spec: Step
  readonly tasks: TaskRun[]
  readonly advice = new AdviceState()
  done = 0
  /** Steady time from which the step could start; undefined while earlier steps run. */
  readyAt: number | undefined

  constructor (job: JobRun, occurrence: number, index: number, now: number) {
    this.job = job
    this.occurrence = occurrence
    this.index = index
    this.spec = job.spec.steps[index]!
    this.tasks = Array.from({ length: this.spec.count }, (_, position) => new TaskRun(this, position, now))
  }

  get isDone (): boolean {
    return this.done === this.tasks.length
  }

  get name (): string {
    return `${this.job.id}.${this.occurrence}.${this.index}`
  }

  /** Tasks of the step on each worker that holds some. */
  countByWorker (): Map<string, number> {
    const counts = new Map<string, number>()
    for (const { hasRun, worker } of this.tasks) {
      if (hasRun && worker !== undefined) counts.set(worker, (counts.get(worker) ?? 0) + 1)
    }
    return counts
  }

  /** Whether all earlier steps that it waits for are done. */
  isReady (): boolean {
    const steps = this.job.occurrences.get(this.occurrence)!
    return this.spec.after.every((earlier) => steps[earlier]!.isDone)
  }
}

/** A job in the memory of its owner. */
export class JobRun {
  readonly job: Job
  readonly occurrences = new Map<number, StepRun[]>()
  readonly finishedOccurrences = new Set<number>()
  state: JobState = 'queued'
  /** State that is stored, which is what callers are shown. */
  shownState: JobState = 'queued'
  /** In ms since 1970; 0 while it goes on. */
  endedAt = 0
  /** Steady time at which the owner learnt of the job. */
  readonly knownSince: number
  cancelled = false
  /** A run of one of its tasks was confirmed. */
  started = false

  constructor (job: Job, now: number, wallNow: number) {
    this.job = job
    this.knownSince = now - Math.max(0, Math.min(wallNow - job.acceptedAt, 600_000))
  }

  get id (): string {
    return this.job.id
  }

  get spec () {
    return this.job.spec
  }

  get isOver (): boolean {
    return this.state === 'completed' || this.state === 'failed' || this.state === 'cancelled'
  }

  get occurrenceCount (): number {
    return Math.max(1, this.spec.occurrences)
  }

  /** When an occurrence is due, in ms since 1970; 0 for at once. */
  dueAt (occurrence: number): number {
    return this.spec.occurrences === 0 ? 0 : this.spec.firstRunAt + occurrence * this.spec.intervalMs
  }

  /** Makes the tasks of an occurrence. */
  open (occurrence: number, now: number): StepRun[] {
    const existing = this.occurrences.get(occurrence)
    if (existing !== undefined) return existing
    const steps = this.spec.steps.map((_, index) => new StepRun(this, occurrence, index, now))
    this.occurrences.set(occurrence, steps)
    return steps
  }

  /** All tasks of the occurrences that are open. */
  * tasks (): Iterable<TaskRun> {
    for (const steps of this.occurrences.values()) for (const step of steps) yield * step.tasks
  }

  /** Marks an occurrence as finished when all its steps are done, and the job with its last one. */
  settleOccurrence (occurrence: number): void {
    const steps = this.occurrences.get(occurrence)
    if (steps === undefined || !steps.every((step) => step.isDone)) return
    this.occurrences.delete(occurrence)
    this.finishedOccurrences.add(occurrence)
    if (this.finishedOccurrences.size === this.occurrenceCount) this.state = 'completed'
  }

  /** Takes over what an earlier owner has stored. Tasks that may run are `starting` until their worker was asked. */
  restore (progress: Progress, now: number): void {
    this.state = progress.state
    this.shownState = progress.state
    this.endedAt = progress.endedAt
    this.started = progress.finishedSteps.length > 0 || progress.finishedOccurrences.length > 0 ||
      progress.tasks.some(({ status, run }) => status === 'done' || run > 1)
    for (const occurrence of progress.finishedOccurrences) this.finishedOccurrences.add(occurrence)
    if (this.isOver) return
    for (const [occurrence, index] of progress.finishedSteps) {
      const step = this.open(occurrence, now)[index]
      for (const task of step?.tasks ?? []) markDone(task)
    }
    for (const record of progress.tasks) {
      const task = this.open(record.occurrence, now)[record.step]?.tasks[record.index]
      if (task === undefined) continue
      task.run = record.run
      task.failures = record.failures
      task.checkpoint = record.checkpoint
      if (record.status === 'done') markDone(task)
      if (record.status !== 'assigned') continue
      task.status = 'starting'
      task.ordered = true
      task.worker = record.worker
      task.inherited = true
    }
  }
}

function markDone (task: TaskRun): void {
  if (task.status === 'done') return
  task.status = 'done'
  task.step.done++
}
