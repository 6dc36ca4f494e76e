import { throwUncaught } from '@gypsumspring/protocol'
import type { AttemptReport, AttemptStart, WorkerClient, WorkerSession as Session } from '@gypsumspring/adapters'
import { computeLossTime, type AttemptId } from '@gypsumspring/core'
import type { Failure, Outcome } from '@gypsumspring/protocol'
import { CHECKPOINT_TRIES, RENEWED_WHILE_SILENT, STARTS_PER_CALL, STOP_GRACE_MS, WORKER_RETRY_MS } from '../constants/index.ts'
import { computePhase } from '../_lib/computePhase.ts'
import type { SessionOptions, StopOrder } from './types.ts'

export type * from './types.ts'

type Call = () => Promise<void>

/**
 * The session with one worker: opens it, sends heartbeats, starts and stops. One call at a time, so that a report never
 * predates an answer that was handled before it. Owns its timer and what waits to be sent.
 */
export class WorkerSession {
  readonly #options: SessionOptions
  #client: WorkerClient
  #session: Session | undefined
  readonly #starts = new Map<string, AttemptStart>()
  readonly #stops = new Map<string, StopOrder & { tries: number, notBefore: number }>()
  readonly #acknowledgements = new Map<string, AttemptId>()
  /** When the next heartbeat or attempt to open a session is due, in ms. */
  #nextContactAt: number
  /** A stop was sent: its result is wanted before the next heartbeat is due. */
  #reportWanted = false
  #answeredAt = -Infinity
  /** End of the last call that may have renewed a task lease; absent before this owner's first session. */
  #renewedAt: number | undefined
  #silent = true
  #busy = false
  /** A call that may renew a task lease is under way. */
  #renewing = false
  #closed = false
  #timer: NodeJS.Timeout | undefined

  constructor (options: SessionOptions) {
    this.#options = options
    this.#client = options.client
    this.#nextContactAt = performance.now()
  }

  /** The last call to the worker was answered and a session is open. */
  get reachable (): boolean {
    return !this.#silent
  }

  /** The worker is silent, and every attempt there has ended for certain. */
  isLost (now: number): boolean {
    const { ownedSince, terms } = this.#options
    const contact = this.#renewedAt === undefined ? { ownedSince } : { ownedSince, lastContactAt: this.#renewedAt }
    return this.#silent && !this.#renewing && now >= computeLossTime(contact, terms)
  }

  open (): void {
    this.#pump()
  }

  start (start: AttemptStart): void {
    this.#starts.set(toKey(start), start)
    // Starts of the same turn go out in one call.
    queueMicrotask(() => this.#pump())
  }

  /** Drops orders for an attempt that has ended. Returns true when a start was still waiting to be sent. */
  drop (id: AttemptId): boolean {
    this.#stops.delete(toKey(id))
    return this.#starts.delete(toKey(id))
  }

  stop (order: StopOrder): void {
    const key = toKey(order)
    if (!this.#stops.has(key)) this.#stops.set(key, { ...order, tries: 0, notBefore: 0 })
    queueMicrotask(() => this.#pump())
  }

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

  #pump (): void {
    if (this.#busy || this.#closed) return
    clearTimeout(this.#timer)
    const call = this.#nextCall()
    if (call === undefined) {
      this.#timer = setTimeout(() => this.#pump(), this.#idleMs())
      return
    }
    this.#busy = true
    call().then(() => {
      this.#busy = false
      this.#pump()
    }).catch(throwUncaught)
  }

  /** Time until something may be due, in ms. */
  #idleMs (): number {
    // Without a right to open a session there is no contact to wait for.
    if (this.#session === undefined && this.#options.owner.right() === 'none') return WORKER_RETRY_MS
    let next = this.#nextContactAt
    for (const { notBefore } of this.#stops.values()) next = Math.min(next, notBefore)
    return Math.max(1, next - performance.now())
  }

  #nextCall (): Call | undefined {
    const now = performance.now()
    const { owner, callLimiter, startLimiter } = this.#options
    if (this.#session === undefined) {
      return now < this.#nextContactAt || owner.right() === 'none' ? undefined : () => callLimiter.run(() => this.#open())
    }
    const session = this.#session
    // A due heartbeat goes first: many or failing stops must not let the leases of other tasks lapse.
    if (now >= this.#nextContactAt) return () => callLimiter.run(() => this.#heartbeat(session))
    for (const order of this.#stops.values()) {
      if (order.notBefore <= now) return () => callLimiter.run(() => this.#stop(session, order))
    }
    if (this.#starts.size > 0 && owner.right() === 'decide') return () => startLimiter.run(() => this.#start(session))
    return this.#reportWanted ? () => callLimiter.run(() => this.#heartbeat(session)) : undefined
  }

  async #open (): Promise<void> {
    const { shard, epoch, label, terms, owner, worker } = this.#options
    if (this.#closed) return
    const request = { shard, epoch, ttlMs: terms.sessionTtlMs, label: label() }
    const outcome = await this.#client.openSession(request)
    this.#settle('open', outcome)
    if (!this.#closed) outcome.ifLeft((failure) => this.#returnStarts(failure))
    outcome.ifRight((opened) => {
      this.#session = { worker, session: opened.session, shard, epoch }
      // Leases may have been renewed up to this moment by a previous owner, who is fenced from now on.
      this.#renewedAt = performance.now()
      this.#nextContactAt = performance.now() + computePhase(worker, terms.heartbeatMs)
      this.#options.log.debug({ worker }, 'session opened')
      if (!this.#closed) owner.onOpened(worker, opened)
    })
  }

  async #heartbeat (session: Session): Promise<void> {
    const { owner, terms, worker } = this.#options
    if (this.#closed) return
    // Each renewal that may have reached a silent worker puts off the time at which it can be declared lost.
    const answering = performance.now() - this.#answeredAt < terms.taskLeaseMs * RENEWED_WHILE_SILENT
    const renewals = answering && owner.right() !== 'none' ? owner.listRenewals(worker) : []
    const acknowledge = [...this.#acknowledgements.values()]
    this.#nextContactAt = performance.now() + terms.heartbeatMs
    this.#reportWanted = false
    const request = { renewals, leaseMs: terms.taskLeaseMs, acknowledge }
    this.#renewing = renewals.length > 0
    const outcome = await this.#client.heartbeat(session, request)
    this.#renewing = false
    if (renewals.length > 0) this.#noteRenewal(outcome)
    this.#settle('heartbeat', outcome)
    outcome.ifRight(({ attempts }) => {
      this.#dropSettledStops(attempts)
      for (const id of acknowledge) this.#acknowledgements.delete(toKey(id))
      if (!this.#closed) owner.onReports(worker, attempts)
    })
  }

  async #start (session: Session): Promise<void> {
    const { owner, worker, metrics } = this.#options
    // Checked again: the call may have waited for the limiter.
    if (this.#closed || owner.right() !== 'decide') return
    const starts = [...this.#starts.values()].slice(0, STARTS_PER_CALL)
    for (const start of starts) this.#starts.delete(toKey(start))
    this.#renewing = true
    const outcome = await this.#client.start(session, starts)
    this.#renewing = false
    this.#noteRenewal(outcome)
    this.#settle('start', outcome)
    if (this.#closed) return
    outcome.caseOf({
      Right: ({ results }) => owner.onStarted(worker, results),
      Left: (failure) => {
        metrics.count('start_failed', { reason: failure.reason, certainty: failure.certainty })
        owner.onStartFailed(worker, starts, failure)
      }
    })
  }

  async #stop (session: Session, order: StopOrder & { tries: number, notBefore: number }): Promise<void> {
    const { task, attempt, checkpoint } = order
    if (this.#closed || !this.#stops.has(toKey(order))) return
    if (checkpoint && order.tries < CHECKPOINT_TRIES) {
      order.tries++
      const outcome = await this.#client.checkpoint(session, { task, attempt })
      this.#settle('checkpoint', outcome)
      order.notBefore = performance.now() + WORKER_RETRY_MS
      if (outcome.isLeft() || this.#session !== session) return
    }
    const stopped = await this.#client.stop(session, { task, attempt, graceMs: STOP_GRACE_MS })
    this.#settle('stop', stopped)
    order.notBefore = performance.now() + (stopped.isRight() ? STOP_GRACE_MS : WORKER_RETRY_MS)
    // The end of the attempt is learned from the next report.
    if (stopped.isRight()) this.#reportWanted = true
  }

  /** Forgets stops of attempts that no longer run; the owner asks again for those that turn up later. */
  #dropSettledStops (reports: AttemptReport[]): void {
    const running = new Set(reports.filter(({ state }) => state === 'running').map(toKey))
    for (const key of this.#stops.keys()) if (!running.has(key)) this.#stops.delete(key)
  }

  /** Returns starts that can't be sent to the owner, which may place those elsewhere that never left. */
  #returnStarts (failure: Failure): void {
    if (this.#starts.size === 0) return
    const starts = [...this.#starts.values()]
    this.#starts.clear()
    this.#options.owner.onStartFailed(this.#options.worker, starts, { ...failure, certainty: 'not-done' })
  }

  #noteRenewal (outcome: Outcome<unknown>): void {
    const mayHaveReached = outcome.caseOf({ Right: () => true, Left: ({ certainty }) => certainty === 'unknown' })
    if (mayHaveReached) this.#renewedAt = performance.now()
  }

  /** Notes whether the worker answered, and drops the session when it is no longer valid. */
  #settle (call: string, outcome: Outcome<unknown>): void {
    outcome.caseOf({
      Right: () => {
        this.#answeredAt = performance.now()
        this.#silent = false
      },
      Left: (failure) => this.#settleFailure(call, failure)
    })
  }

  #settleFailure (call: string, { reason, message }: Failure): void {
    const { owner, worker, metrics, log } = this.#options
    metrics.count('worker_call_failed', { call, reason })
    if (this.#closed) return
    if (reason === 'stale-epoch') owner.onFenced(worker)
    const retryAt = performance.now() + WORKER_RETRY_MS
    if (reason === 'session-expired') {
      this.#session = undefined
      this.#nextContactAt = performance.now()
    } else this.#nextContactAt = call === 'open' ? retryAt : Math.min(this.#nextContactAt, retryAt)
    if (reason === 'session-expired' || this.#silent) return
    log.info({ worker, call, reason, message }, 'worker does not answer')
    this.#silent = true
    owner.onSilent(worker)
  }
}

function toKey ({ task, attempt }: AttemptId): string {
  return `${task}#${attempt}`
}
