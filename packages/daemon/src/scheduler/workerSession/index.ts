import { throwUncaught } from '@gypsumspring/protocol'
import type { AttemptReport, AttemptStart, WorkerClient, WorkerSession as Session } from '@gypsumspring/adapters'
import { computeLossTime, type AttemptId } from '@gypsumspring/core'
import type { Failure, Outcome } from '@gypsumspring/protocol'
import {
  MAX_CHECKPOINT_CALLS, MAX_STARTS_PER_CALL, SILENT_RENEWAL_SHARE, STOP_GRACE_PERIOD_MS, WORKER_RETRY_DELAY_MS
} from '../constants/index.ts'
import { computePhase } from '../_lib/computePhase.ts'
import type { SessionOptions, StopRequest } from './types.ts'

export type * from './types.ts'

type Call = () => Promise<void>

interface PendingStop extends StopRequest {
  /** Number of checkpoint calls made so far. */
  checkpointCalls: number
  /** Earliest time of the next call for this stop, in ms. */
  notBefore: number
}

/**
 * The session with one worker: opens it and sends heartbeats, starts and stops. Calls are sent one at a time, so that a
 * report is never older than a response that was handled before it. Owns its timer and the queues of pending calls.
 */
export class WorkerSession {
  readonly #options: SessionOptions
  #client: WorkerClient
  #session: Session | undefined
  readonly #starts = new Map<string, AttemptStart>()
  readonly #stops = new Map<string, PendingStop>()
  readonly #acknowledgements = new Map<string, AttemptId>()
  /** When the next heartbeat or attempt to open a session is due, in ms. */
  #nextContactAt: number
  /** A stop was sent; an early heartbeat fetches its result. */
  #reportRequested = false
  /** When the worker last responded to a call, in ms. */
  #respondedAt = -Infinity
  /** When the last call that may have renewed a task lease ended, in ms; undefined before the first session. */
  #renewedAt: number | undefined
  #unreachable = true
  #busy = false
  /** A call that may renew a task lease is in progress. */
  #renewing = false
  #closed = false
  #timer: NodeJS.Timeout | undefined

  constructor (options: SessionOptions) {
    this.#options = options
    this.#client = options.client
    this.#nextContactAt = performance.now()
  }

  /** True after a successful call until a call fails for another reason than an expired session. */
  get reachable (): boolean {
    return !this.#unreachable
  }

  /** True when the worker is unreachable and every attempt on it must have ended, as all task leases have expired. */
  isLost (now: number): boolean {
    const { ownedSince, durations } = this.#options
    const contact = this.#renewedAt === undefined ? { ownedSince } : { ownedSince, lastContactAt: this.#renewedAt }
    return this.#unreachable && !this.#renewing && now >= computeLossTime(contact, durations)
  }

  /** Starts calling the worker. */
  open (): void {
    this.#sendNext()
  }

  start (start: AttemptStart): void {
    this.#starts.set(toKey(start), start)
    // Deferred, so that starts of the same round are sent in one call.
    queueMicrotask(() => this.#sendNext())
  }

  /** Drops pending calls for an attempt. Returns true when its start was not sent yet. */
  cancel (id: AttemptId): boolean {
    this.#stops.delete(toKey(id))
    return this.#starts.delete(toKey(id))
  }

  stop (request: StopRequest): void {
    const key = toKey(request)
    if (!this.#stops.has(key)) this.#stops.set(key, { ...request, checkpointCalls: 0, notBefore: 0 })
    queueMicrotask(() => this.#sendNext())
  }

  /** Tells the worker with the next heartbeat that it may forget the attempt. */
  acknowledge (id: AttemptId): void {
    this.#acknowledgements.set(toKey(id), id)
  }

  /** Replaces the connection after the worker's address has changed. */
  setClient (client: WorkerClient): void {
    this.#client = client
    this.#session = undefined
  }

  close (): void {
    this.#closed = true
    clearTimeout(this.#timer)
  }

  #sendNext (): void {
    if (this.#busy || this.#closed) return
    clearTimeout(this.#timer)
    const call = this.#nextCall()
    if (call === undefined) {
      this.#timer = setTimeout(() => this.#sendNext(), this.#computeIdleMs())
      return
    }
    this.#busy = true
    call().then(() => {
      this.#busy = false
      this.#sendNext()
    }).catch(throwUncaught)
  }

  /** Time until a call may be due, in ms. */
  #computeIdleMs (): number {
    // A session can't be opened without the lease, so the right is checked again later.
    if (this.#session === undefined && this.#options.delegate.right() === 'none') return WORKER_RETRY_DELAY_MS
    let next = this.#nextContactAt
    for (const { notBefore } of this.#stops.values()) next = Math.min(next, notBefore)
    return Math.max(1, next - performance.now())
  }

  #nextCall (): Call | undefined {
    const now = performance.now()
    const { delegate, callLimiter, startLimiter } = this.#options
    if (this.#session === undefined) {
      return now < this.#nextContactAt || delegate.right() === 'none' ? undefined : () => callLimiter.run(() => this.#open())
    }
    const session = this.#session
    // Heartbeats take precedence, so that many or failing stops don't let the leases of other tasks expire.
    if (now >= this.#nextContactAt) return () => callLimiter.run(() => this.#heartbeat(session))
    for (const pendingStop of this.#stops.values()) {
      if (pendingStop.notBefore <= now) return () => callLimiter.run(() => this.#stop(session, pendingStop))
    }
    if (this.#starts.size > 0 && delegate.right() === 'decide') return () => startLimiter.run(() => this.#start(session))
    return this.#reportRequested ? () => callLimiter.run(() => this.#heartbeat(session)) : undefined
  }

  async #open (): Promise<void> {
    const { shard, epoch, label, durations, delegate, worker } = this.#options
    if (this.#closed) return
    const request = { shard, epoch, ttlMs: durations.sessionTtlMs, label: label() }
    const outcome = await this.#client.openSession(request)
    this.#handleOutcome('open', outcome)
    if (!this.#closed) outcome.ifLeft((failure) => this.#failPendingStarts(failure))
    outcome.ifRight((opened) => {
      this.#session = { worker, session: opened.session, shard, epoch }
      // A previous owner may have renewed leases up to now; the new session fences it.
      this.#renewedAt = performance.now()
      this.#nextContactAt = performance.now() + computePhase(worker, durations.heartbeatMs)
      this.#options.log.debug({ worker }, 'session opened')
      if (!this.#closed) delegate.onOpened(worker, opened)
    })
  }

  async #heartbeat (session: Session): Promise<void> {
    const { delegate, durations, worker } = this.#options
    if (this.#closed) return
    // Each renewal that may have reached an unresponsive worker delays the time when it can be declared lost.
    const isResponding = performance.now() - this.#respondedAt < durations.taskLeaseMs * SILENT_RENEWAL_SHARE
    const renewals = isResponding && delegate.right() !== 'none' ? delegate.listRenewals(worker) : []
    const acknowledge = [...this.#acknowledgements.values()]
    this.#nextContactAt = performance.now() + durations.heartbeatMs
    this.#reportRequested = false
    const request = { renewals, leaseMs: durations.taskLeaseMs, acknowledge }
    this.#renewing = renewals.length > 0
    const outcome = await this.#client.heartbeat(session, request)
    this.#renewing = false
    if (renewals.length > 0) this.#recordRenewal(outcome)
    this.#handleOutcome('heartbeat', outcome)
    outcome.ifRight(({ attempts }) => {
      this.#removeCompletedStops(attempts)
      for (const id of acknowledge) this.#acknowledgements.delete(toKey(id))
      if (!this.#closed) delegate.onReports(worker, attempts)
    })
  }

  async #start (session: Session): Promise<void> {
    const { delegate, worker, metrics } = this.#options
    // Checked again, since the call may have waited in the limiter.
    if (this.#closed || delegate.right() !== 'decide') return
    const starts = [...this.#starts.values()].slice(0, MAX_STARTS_PER_CALL)
    for (const start of starts) this.#starts.delete(toKey(start))
    this.#renewing = true
    const outcome = await this.#client.start(session, starts)
    this.#renewing = false
    this.#recordRenewal(outcome)
    this.#handleOutcome('start', outcome)
    if (this.#closed) return
    outcome.caseOf({
      Right: ({ results }) => delegate.onStarted(worker, results),
      Left: (failure) => {
        metrics.count('start_failed', { reason: failure.reason, certainty: failure.certainty })
        delegate.onStartFailed(worker, starts, failure)
      }
    })
  }

  async #stop (session: Session, pendingStop: PendingStop): Promise<void> {
    const { task, attempt, checkpoint } = pendingStop
    if (this.#closed || !this.#stops.has(toKey(pendingStop))) return
    if (checkpoint && pendingStop.checkpointCalls < MAX_CHECKPOINT_CALLS) {
      pendingStop.checkpointCalls++
      const outcome = await this.#client.checkpoint(session, { task, attempt })
      this.#handleOutcome('checkpoint', outcome)
      pendingStop.notBefore = performance.now() + WORKER_RETRY_DELAY_MS
      if (outcome.isLeft() || this.#session !== session) return
    }
    const stopped = await this.#client.stop(session, { task, attempt, graceMs: STOP_GRACE_PERIOD_MS })
    this.#handleOutcome('stop', stopped)
    pendingStop.notBefore = performance.now() + (stopped.isRight() ? STOP_GRACE_PERIOD_MS : WORKER_RETRY_DELAY_MS)
    // The next report shows whether the attempt has ended.
    if (stopped.isRight()) this.#reportRequested = true
  }

  /** Removes stops of attempts that no longer run; the owner requests them again if the attempts appear later. */
  #removeCompletedStops (reports: AttemptReport[]): void {
    const running = new Set(reports.filter(({ state }) => state === 'running').map(toKey))
    for (const key of this.#stops.keys()) if (!running.has(key)) this.#stops.delete(key)
  }

  /** Reports pending starts to the owner as not sent, so that it can place the tasks on other workers. */
  #failPendingStarts (failure: Failure): void {
    if (this.#starts.size === 0) return
    const starts = [...this.#starts.values()]
    this.#starts.clear()
    this.#options.delegate.onStartFailed(this.#options.worker, starts, { ...failure, certainty: 'not-done' })
  }

  #recordRenewal (outcome: Outcome<unknown>): void {
    const mayHaveArrived = outcome.caseOf({ Right: () => true, Left: ({ certainty }) => certainty === 'unknown' })
    if (mayHaveArrived) this.#renewedAt = performance.now()
  }

  /** Updates reachability after a call, and drops the session when the worker reports it as expired. */
  #handleOutcome (call: string, outcome: Outcome<unknown>): void {
    outcome.caseOf({
      Right: () => {
        this.#respondedAt = performance.now()
        this.#unreachable = false
      },
      Left: (failure) => this.#handleFailure(call, failure)
    })
  }

  #handleFailure (call: string, { reason, message }: Failure): void {
    const { delegate, worker, metrics, log } = this.#options
    metrics.count('worker_call_failed', { call, reason })
    if (this.#closed) return
    if (reason === 'stale-epoch') delegate.onFenced(worker)
    const retryAt = performance.now() + WORKER_RETRY_DELAY_MS
    if (reason === 'session-expired') {
      this.#session = undefined
      this.#nextContactAt = performance.now()
    } else this.#nextContactAt = call === 'open' ? retryAt : Math.min(this.#nextContactAt, retryAt)
    if (reason === 'session-expired' || this.#unreachable) return
    log.info({ worker, call, reason, message }, 'worker does not respond')
    this.#unreachable = true
    delegate.onUnreachable(worker)
  }
}

function toKey ({ task, attempt }: AttemptId): string {
  return `${task}#${attempt}`
}
