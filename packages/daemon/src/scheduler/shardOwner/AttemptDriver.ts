import type { AttemptReport, AttemptStart, StartResult, WorkerInspection } from '@gypsumspring/adapters'
import {
  DRIFT_MARGIN, isFailure, reconcileWorker, type AttemptResult, type AttemptId, type JournalRecord, type LeaseRight,
  type Placement
} from '@gypsumspring/core'
import type { Failure } from '@gypsumspring/protocol'
import type { AppendResult } from '../journal/index.ts'
import type { SessionOwner } from '../workerSession/index.ts'
import { countFailureInRow } from './GroupSettler.ts'
import type { ShardOwnerOptions } from './options.ts'
import type { TaskTable } from './TaskTable.ts'
import type { Group, Submission, Task } from './types.ts'
import type { WorkerSet } from './WorkerSet.ts'

export interface AttemptDriverOptions extends ShardOwnerOptions {
  tasks: TaskTable
  workers: () => WorkerSet
  /** Records transitions; `then` does not run after the shard was lost. */
  append: (records: JournalRecord[], then: (result: AppendResult) => void) => void
  /** True when the configuration in force is at least as new as the one that the journal follows from. */
  isConfigured: () => boolean
  /** Something about the group has changed. */
  onChange: (group: Group) => void
  onCapacity: () => void
}

/**
 * Drives the attempts of a shard from intent to recorded end, and keeps them in agreement with the workers' reports.
 * Nothing is sent before its intent is recorded, and no end is acknowledged before it is recorded.
 */
export class AttemptDriver implements SessionOwner {
  readonly #options: AttemptDriverOptions
  #lastAttempt: number

  constructor (options: AttemptDriverOptions) {
    this.#options = options
    this.#lastAttempt = options.record.state.lastAttempt
  }

  right (): LeaseRight {
    return this.#options.right()
  }

  listRenewals (worker: string): AttemptId[] {
    return this.#options.tasks.liveOn(worker).filter(({ state }) => state !== 'ending').map(toId)
  }

  onOpened (worker: string, inspection: WorkerInspection): void {
    if (this.#options.workers().setCapacity(worker, inspection.capacity)) this.#options.onCapacity()
    this.onReports(worker, inspection.attempts)
  }

  onReports (worker: string, reports: AttemptReport[]): void {
    const { tasks, placer, workers, log, metrics } = this.#options
    const live = tasks.liveOn(worker).map((task) => (
      { ...toId(task), confirmed: task.confirmed, stopRequested: task.stopReason !== undefined }))
    const { running, ended, resend, absent, surplus, forget } = reconcileWorker(live, reports)
    const session = workers().session(worker)
    const reported = new Map(reports.map((report) => [`${report.task}#${report.attempt}`, report]))
    for (const id of running) this.#confirm(id)
    for (const { task, attempt, state } of reports) {
      // A stop may have been dropped because an earlier report did not show the attempt.
      const wanted = tasks.findAttempt({ task, attempt })?.stopReason === undefined
      if (state === 'running' && !wanted) session?.stop({ task, attempt, checkpoint: false })
    }
    for (const { result, ...id } of ended) this.end(id, result, reported.get(`${id.task}#${id.attempt}`)?.detail ?? '')
    for (const id of resend) this.#send(id)
    for (const id of absent) if (this.#isSettled(id)) this.end(id, 'stopped', 'stopped before it started')
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
    workers().setOccupied(worker, surplus.length > 0)
  }

  onStarted (worker: string, results: StartResult[]): void {
    const { metrics, placer } = this.#options
    for (const { task, attempt, accepted, detail } of results) {
      if (accepted) this.#confirm({ task, attempt })
      else {
        metrics.count('start_refused')
        placer.recordOutcome(task, worker, { succeeded: false, runMs: 0 })
        // A refused repeat says nothing of an earlier start that may still arrive; the next report asks again.
        if (this.#isSettled({ task, attempt })) this.end({ task, attempt }, 'refused', detail ?? 'refused by the worker')
      }
    }
  }

  onStartFailed (_worker: string, starts: AttemptStart[], failure: Failure): void {
    for (const start of starts) {
      const task = this.#options.tasks.findAttempt(start)
      if (task === undefined) continue
      if (failure.certainty === 'unknown') {
        task.mayHaveReached = true
        task.lastSentAt = performance.now()
      } else if (!task.mayHaveReached && (task.stopReason !== undefined || failure.reason !== 'session-expired')) {
        this.end(toId(task), 'refused', failure.message)
      }
    }
  }

  onSilent (worker: string): void {
    this.#options.workers().refresh(worker)
  }

  onFenced (): void {
    this.#options.onLost('fenced-by-worker')
  }

  /** Records intents for the tasks of one decision in one row, then starts them. */
  place (submission: Submission, placements: Placement[]): void {
    const { tasks, append } = this.#options
    const placed: Task[] = []
    const records: JournalRecord[] = []
    for (const { task: id, worker } of placements) {
      const task = tasks.find(id)
      if (task === undefined || !tasks.place(task, worker)) throw new Error(`placer: placed ${id}, which does not wait`)
      const { resources, revision, group } = submission
      const attempt = ++this.#lastAttempt
      Object.assign(task, { resources, revision, attempt })
      Object.assign(task, { confirmed: false, mayHaveReached: false, startedAt: 0 })
      placed.push(task)
      records.push({ kind: 'intent', task: id, group: group.id, attempt, worker, resources, revision })
    }
    append(records, () => { for (const task of placed) this.#onIntentRecorded(task) })
  }

  /** Stops an attempt that is no longer wanted, whatever its state. */
  stop (task: Task, reason: string, checkpoint: boolean): void {
    const { tasks, metrics, workers } = this.#options
    if (task.stopReason !== undefined) return
    const mayBeSent = task.state === 'starting' || task.state === 'running'
    if (!tasks.move(task, 'stop')) return
    task.stopReason = reason
    metrics.count('attempts_stopped', { reason })
    if (!mayBeSent || task.worker === null) return
    const session = workers().session(task.worker)
    const unsent = session?.drop(toId(task)) === true && !task.mayHaveReached
    if (unsent) this.end(toId(task), 'refused', `${reason} before it started`)
    else session?.stop({ ...toId(task), checkpoint })
  }

  /** Records that an attempt has ended for certain. */
  end (id: AttemptId, result: AttemptResult, detail: string): void {
    const { tasks, append } = this.#options
    const task = tasks.findAttempt(id)
    if (task === undefined || !tasks.move(task, 'ended')) return
    task.detail = detail
    const failure = isFailure(result) && task.stopReason === undefined
    append([{ kind: 'end', ...id, result, failure }], () => this.#onEndRecorded(task, result, failure))
  }

  #confirm (id: AttemptId): void {
    const { tasks, metrics, onChange } = this.#options
    const task = tasks.findAttempt(id)
    if (task === undefined || !tasks.move(task, 'reportedRunning')) return
    if (!task.confirmed) {
      task.startedAt = performance.now()
      metrics.recordDuration('start_latency', task.startedAt - task.queuedAt)
      metrics.count('attempts_started')
      onChange(task.group)
    }
    task.confirmed = true
    task.mayHaveReached = true
  }

  /** No start of the attempt is still on its way: none was sent without an answer, or not for the task lease. */
  #isSettled (id: AttemptId): boolean {
    const { tasks, settings } = this.#options
    const task = tasks.findAttempt(id)
    if (task?.mayHaveReached !== true) return true
    return performance.now() >= task.lastSentAt + settings.taskLeaseMs * DRIFT_MARGIN
  }

  #send (id: AttemptId): void {
    const { tasks, isConfigured, settings, workers } = this.#options
    const task = tasks.findAttempt(id)
    if (task?.state !== 'starting' || task.worker === null) return
    const { resources, attempt, group } = task
    // Without the definition in force the payload is unknown; the next report asks for the start again.
    if (!isConfigured() || group.definition?.generation !== group.generation) return
    workers().session(task.worker)?.start({
      task: task.id, attempt, resources, leaseMs: settings.taskLeaseMs, payload: group.definition.payload
    })
  }

  #onIntentRecorded (task: Task): void {
    const { tasks, append, workers } = this.#options
    tasks.move(task, 'recorded')
    if (task.state !== 'ending') {
      if (workers().session(task.worker ?? '') === undefined) this.end(toId(task), 'refused', 'worker is gone')
      else this.#send(toId(task))
      return
    }
    const record: JournalRecord = { kind: 'end', ...toId(task), result: 'refused', failure: false }
    append([record], () => this.#onEndRecorded(task, 'refused', false))
  }

  #onEndRecorded (task: Task, result: AttemptResult, failure: boolean): void {
    const { tasks, placer, metrics, log, workers, onChange } = this.#options
    const now = performance.now()
    tasks.move(task, 'endRecorded')
    Object.assign(task, { result, endedAt: now, stopReason: undefined, failures: task.failures + (failure ? 1 : 0) })
    if (failure) countFailureInRow(task, now)
    metrics.count('attempts_ended', { result })
    log.debug({ task: task.id, attempt: task.attempt, result }, 'attempt ended')
    if (task.worker !== null) {
      const session = workers().session(task.worker)
      session?.drop(toId(task))
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
