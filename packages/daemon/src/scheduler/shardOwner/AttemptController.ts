import type { AttemptReport, AttemptStart, StartResult, WorkerInspection } from '@gypsumspring/adapters'
import {
  DRIFT_MARGIN, isFailure, reconcileWorker, type AttemptResult, type AttemptId, type JournalRecord, type LeaseRight,
  type Placement
} from '@gypsumspring/core'
import type { Failure } from '@gypsumspring/protocol'
import type { AppendResult } from '../journal/index.ts'
import type { SessionDelegate } from '../workerSession/index.ts'
import { updateConsecutiveFailures } from './GroupReconciler.ts'
import type { ShardOwnerOptions } from './options.ts'
import type { TaskTable } from './TaskTable.ts'
import type { Group, Submission, Task } from './types.ts'
import type { WorkerSet } from './WorkerSet.ts'

export interface AttemptControllerOptions extends ShardOwnerOptions {
  tasks: TaskTable
  workers: () => WorkerSet
  /** Appends transitions to the journal; `then` runs when they are recorded, but not after the shard was lost. */
  append: (records: JournalRecord[], then: (result: AppendResult) => void) => void
  /** True when the configuration in force is at least as new as the one that the last journal row was based on. */
  isConfigurationCurrent: () => boolean
  /** Called when the state of a task of the group has changed. */
  onChange: (group: Group) => void
  /** Called when a worker has reported its capacity for the first time. */
  onWorkerReady: () => void
}

/**
 * Runs the attempts of a shard from the recorded intent to the recorded end, and reconciles them with the reports of
 * the workers. A start is sent only after its intent was recorded; an end is acknowledged only after it was recorded.
 */
export class AttemptController implements SessionDelegate {
  readonly #options: AttemptControllerOptions
  #lastAttempt: number

  constructor (options: AttemptControllerOptions) {
    this.#options = options
    this.#lastAttempt = options.recovered.state.lastAttempt
  }

  right (): LeaseRight {
    return this.#options.right()
  }

  listRenewals (worker: string): AttemptId[] {
    return this.#options.tasks.listLiveTasks(worker).filter(({ state }) => state !== 'ending').map(toId)
  }

  onOpened (worker: string, inspection: WorkerInspection): void {
    if (this.#options.workers().setCapacity(worker, inspection.capacity)) this.#options.onWorkerReady()
    this.onReports(worker, inspection.attempts)
  }

  onReports (worker: string, reports: AttemptReport[]): void {
    const { tasks, placer, workers, log, metrics } = this.#options
    const live = tasks.listLiveTasks(worker).map((task) => (
      { ...toId(task), confirmed: task.confirmed, stopRequested: task.stopReason !== undefined }))
    const { running, ended, resend, absent, surplus, forget } = reconcileWorker(live, reports)
    const session = workers().session(worker)
    const reported = new Map(reports.map((report) => [`${report.task}#${report.attempt}`, report]))
    for (const id of running) this.#markRunning(id)
    for (const { task, attempt, state } of reports) {
      // The session drops a stop when a report does not show the attempt, so it may have to be requested again.
      const wanted = tasks.findAttempt({ task, attempt })?.stopReason === undefined
      if (state === 'running' && !wanted) session?.stop({ task, attempt, checkpoint: false })
    }
    for (const { result, ...id } of ended) this.end(id, result, reported.get(`${id.task}#${id.attempt}`)?.detail ?? '')
    for (const id of resend) this.#send(id)
    for (const id of absent) if (this.#noStartPending(id)) this.end(id, 'stopped', 'stopped before it started')
    for (const id of surplus) {
      metrics.count('surplus_attempts')
      log.warn({ worker, ...id }, 'stopping an attempt that is not recorded as live')
      session?.stop({ ...id, checkpoint: false })
    }
    for (const id of forget) session?.acknowledge(id)
    for (const { task, attempt, usage } of reports) {
      if (usage !== undefined && tasks.findAttempt({ task, attempt })?.submission !== undefined) {
        placer.recordUsage(task, usage)
      }
    }
    workers().setUnrecordedAttempts(worker, surplus.length > 0)
  }

  onStarted (worker: string, results: StartResult[]): void {
    const { metrics, placer } = this.#options
    for (const { task, attempt, accepted, detail } of results) {
      if (accepted) this.#markRunning({ task, attempt })
      else {
        metrics.count('start_refused')
        placer.recordOutcome(task, worker, { succeeded: false, runMs: 0 })
        // An earlier start may still arrive although this one was refused; the next report decides.
        const id = { task, attempt }
        if (this.#noStartPending(id)) this.end(id, 'refused', detail ?? 'refused by the worker')
      }
    }
  }

  onStartFailed (_worker: string, starts: AttemptStart[], failure: Failure): void {
    for (const start of starts) {
      const task = this.#options.tasks.findAttempt(start)
      if (task === undefined) continue
      if (failure.certainty === 'unknown') {
        task.startMayHaveArrived = true
        task.lastStartAt = performance.now()
      } else if (!task.startMayHaveArrived && (task.stopReason !== undefined || failure.reason !== 'session-expired')) {
        this.end(toId(task), 'refused', failure.message)
      }
    }
  }

  onUnreachable (worker: string): void {
    this.#options.workers().updateAvailability(worker)
  }

  onFenced (): void {
    this.#options.onLost('fenced-by-worker')
  }

  /** Records the intents for the tasks of one placement decision in one row, then starts the tasks. */
  place (submission: Submission, placements: Placement[]): void {
    const { tasks, append } = this.#options
    const placed: Task[] = []
    const records: JournalRecord[] = []
    for (const { task: id, worker } of placements) {
      const task = tasks.find(id)
      if (task === undefined || !tasks.place(task, worker)) {
        throw new Error(`placer: placed task ${id}, which is unknown or not waiting`)
      }
      const { resources, revision, group } = submission
      const attempt = ++this.#lastAttempt
      Object.assign(task, { resources, revision, attempt })
      Object.assign(task, { confirmed: false, startMayHaveArrived: false, startedAt: 0 })
      placed.push(task)
      records.push({ kind: 'intent', task: id, group: group.id, attempt, worker, resources, revision })
    }
    append(records, () => { for (const task of placed) this.#onIntentRecorded(task) })
  }

  /** Stops the attempt of a task in any state. Has no effect when it is already being stopped. */
  stop (task: Task, reason: string, checkpoint: boolean): void {
    const { tasks, metrics, workers } = this.#options
    if (task.stopReason !== undefined) return
    const startMayBeSent = task.state === 'starting' || task.state === 'running'
    if (!tasks.transition(task, 'stop')) return
    task.stopReason = reason
    metrics.count('attempts_stopped', { reason })
    if (!startMayBeSent || task.worker === null) return
    const session = workers().session(task.worker)
    const unsent = session?.cancel(toId(task)) === true && !task.startMayHaveArrived
    if (unsent) this.end(toId(task), 'refused', `${reason} before it started`)
    else session?.stop({ ...toId(task), checkpoint })
  }

  /** Records the end of an attempt that certainly does not run any more. */
  end (id: AttemptId, result: AttemptResult, detail: string): void {
    const { tasks, append } = this.#options
    const task = tasks.findAttempt(id)
    if (task === undefined || !tasks.transition(task, 'ended')) return
    task.detail = detail
    const failure = isFailure(result) && task.stopReason === undefined
    append([{ kind: 'end', ...id, result, failure }], () => this.#onEndRecorded(task, result, failure))
  }

  #markRunning (id: AttemptId): void {
    const { tasks, metrics, onChange } = this.#options
    const task = tasks.findAttempt(id)
    if (task === undefined || !tasks.transition(task, 'reportedRunning')) return
    if (!task.confirmed) {
      task.startedAt = performance.now()
      metrics.recordDuration('start_latency', task.startedAt - task.queuedAt)
      metrics.count('attempts_started')
      onChange(task.group)
    }
    task.confirmed = true
    task.startMayHaveArrived = true
  }

  /**
   * True when no start of the attempt can still arrive: none has an unknown outcome, or the task lease has passed since
   * the last one.
   */
  #noStartPending (id: AttemptId): boolean {
    const { tasks, settings } = this.#options
    const task = tasks.findAttempt(id)
    if (task?.startMayHaveArrived !== true) return true
    return performance.now() >= task.lastStartAt + settings.taskLeaseMs * DRIFT_MARGIN
  }

  #send (id: AttemptId): void {
    const { tasks, isConfigurationCurrent, settings, workers } = this.#options
    const task = tasks.findAttempt(id)
    if (task?.state !== 'starting' || task.worker === null) return
    const { resources, attempt, group } = task
    // The payload is known only with the current definition; the next report causes the start to be sent again.
    if (!isConfigurationCurrent() || group.definition?.generation !== group.generation) return
    workers().session(task.worker)?.start({
      task: task.id, attempt, resources, leaseMs: settings.taskLeaseMs, payload: group.definition.payload
    })
  }

  #onIntentRecorded (task: Task): void {
    const { tasks, append, workers } = this.#options
    tasks.transition(task, 'recorded')
    if (task.state !== 'ending') {
      if (workers().session(task.worker ?? '') !== undefined) this.#send(toId(task))
      else this.end(toId(task), 'refused', 'worker is no longer in the shard')
      return
    }
    const record: JournalRecord = { kind: 'end', ...toId(task), result: 'refused', failure: false }
    append([record], () => this.#onEndRecorded(task, 'refused', false))
  }

  #onEndRecorded (task: Task, result: AttemptResult, failure: boolean): void {
    const { tasks, placer, metrics, log, workers, onChange } = this.#options
    const now = performance.now()
    tasks.transition(task, 'endRecorded')
    Object.assign(task, { result, endedAt: now, stopReason: undefined, failures: task.failures + (failure ? 1 : 0) })
    if (failure) updateConsecutiveFailures(task, now)
    metrics.count('attempts_ended', { result })
    log.debug({ task: task.id, attempt: task.attempt, result }, 'attempt ended')
    if (task.worker !== null) {
      const session = workers().session(task.worker)
      session?.cancel(toId(task))
      if (result !== 'lost' && result !== 'refused') session?.acknowledge(toId(task))
      if (task.submission !== undefined && (result === 'succeeded' || result === 'failed')) {
        const runMs = task.startedAt > 0 ? now - task.startedAt : 0
        placer.recordOutcome(task.id, task.worker, { succeeded: result === 'succeeded', runMs })
      }
    }
    if (task.submission !== undefined) placer.release(task.id)
    onChange(task.group)
  }
}

function toId ({ id, attempt }: Task): AttemptId {
  return { task: id, attempt }
}
