import { failureOf, notDone, sleep, valueOf, type Outcome } from '@gypsumspring/protocol'
import { CLOCK_DRIFT, LEASE_SLACK_MS, POLL_WAIT_MS, ORDER_RETRY_MS, TASK_LEASE_MS } from '../constants/index.ts'
import type { StartResult, WorkerClient } from '../ports.ts'
import type { RunOrder, StartOrder, WorkerReport } from '../types.ts'
import type { WorkerState } from '../workers/WorkerState.ts'

export interface SessionOwner {
  token: number
  /** Length of the leases, in ms; at most what workers accept. */
  leaseMs: number
  /** Whether leases may still be renewed; not long after the owner lost the store. */
  mayRenew (): boolean
  receive (worker: WorkerState, view: WorkerReport, sentAt: number): void
  /** Resolves when the ends received so far are stored, or after a short wait. */
  stored (worker: WorkerState): Promise<void>
  /** Another owner with a higher token was there. */
  fenced (worker: WorkerState): void
  /** The incarnation is gone. */
  gone (worker: WorkerState): void
  reachabilityChanged (worker: WorkerState): void
}

/** Keeps looking at one worker, which renews the lease of its tasks, and sends it orders. */
export class WorkerSession {
  readonly state: WorkerState
  readonly #link: WorkerClient
  readonly #owner: SessionOwner
  /** Last reading of the worker's clock and the steady time of its arrival, in ms. */
  #clock: { workerMs: number, at: number } | undefined
  /** End of the last lease that was given, on the worker's clock. */
  #leaseUntil: number | undefined
  #closed = false

  constructor (state: WorkerState, link: WorkerClient, owner: SessionOwner) {
    this.state = state
    this.#link = link
    this.#owner = owner
  }

  async run (): Promise<void> {
    while (!this.#closed) {
      const sentAt = performance.now()
      const isFirst = this.#clock === undefined || !this.state.reachable
      const outcome = await this.#link.poll({
        token: this.#owner.token,
        acknowledged: this.state.storedEndSequence,
        // After a look without answer leases are left to end until the worker answers again.
        leaseUntil: this.state.reachable ? this.#extendLease() : undefined,
        waitMs: isFirst || this.state.storedEndSequence < this.state.processedEndSequence ? 0 : POLL_WAIT_MS
      })
      if (this.#closed) return
      const view = valueOf(outcome)
      if (view === undefined) await this.#handleFailure(outcome)
      else await this.#handleView(view, sentAt, isFirst)
    }
  }

  async start (order: StartOrder): Promise<Outcome<StartResult>> {
    // A longer lease on a worker that doesn't answer would move the time at which its tasks count as lost.
    const leaseUntil = this.state.reachable ? this.#extendLease() : this.#lastLease()
    if (leaseUntil === undefined) return notDone('unavailable', 'no lease can be given on the worker')
    const outcome = await this.#link.start(order, this.#owner.token, leaseUntil)
    if (isGone(outcome)) this.#owner.gone(this.state)
    // Until the next look is answered no further tasks go to a worker that may be cut off.
    if (failureOf(outcome)?.certainty === 'unknown') this.#markUnreachable()
    return outcome
  }

  async stop (order: RunOrder): Promise<Outcome<void>> {
    const outcome = await this.#link.stop(order, this.#owner.token)
    if (isGone(outcome)) this.#owner.gone(this.state)
    return outcome
  }

  async pace (order: RunOrder, percent: number): Promise<Outcome<void>> {
    return await this.#link.pace(order, percent, this.#owner.token)
  }

  close (): void {
    this.#closed = true
    this.#link.close()
  }

  /** End of a new lease on the worker's clock; undefined when none may be given. */
  #extendLease (): number | undefined {
    if (this.#clock === undefined || !this.#owner.mayRenew()) return undefined
    const now = performance.now()
    const { leaseMs } = this.#owner
    const endsBy = now + leaseMs * (1 + CLOCK_DRIFT) + LEASE_SLACK_MS
    this.state.leaseEndsBy = Math.max(this.state.leaseEndsBy, endsBy)
    this.#leaseUntil = Math.floor(this.#clock.workerMs + (now - this.#clock.at) + leaseMs)
    return this.#leaseUntil
  }

  /** End of the last lease that was given; undefined when it is over. */
  #lastLease (): number | undefined {
    if (this.#clock === undefined || this.#leaseUntil === undefined) return undefined
    const workerNow = this.#clock.workerMs + (performance.now() - this.#clock.at)
    return this.#leaseUntil > workerNow ? this.#leaseUntil : undefined
  }

  #markUnreachable (): void {
    if (!this.state.reachable) return
    this.state.reachable = false
    this.#owner.reachabilityChanged(this.state)
  }

  async #handleView (view: WorkerReport, sentAt: number, isFirst: boolean): Promise<void> {
    this.#clock = { workerMs: view.clockMs, at: performance.now() }
    const wasReachable = this.state.reachable
    this.state.reachable = true
    this.#owner.receive(this.state, view, sentAt)
    if (!wasReachable) this.#owner.reachabilityChanged(this.state)
    if (!isFirst && this.state.storedEndSequence < this.state.processedEndSequence) await this.#owner.stored(this.state)
  }

  async #handleFailure (outcome: Outcome<WorkerReport>): Promise<void> {
    if (isGone(outcome)) {
      this.#owner.gone(this.state)
      return
    }
    const reason = failureOf(outcome)?.reason
    if (reason === 'stale-epoch') {
      this.#owner.fenced(this.state)
      return
    }
    this.#markUnreachable()
    await sleep(ORDER_RETRY_MS)
  }
}

function isGone (outcome: Outcome<unknown>): boolean {
  return failureOf(outcome)?.reason === 'session-expired'
}

/** Longest lease that the sessions ask for, given the platform's limit in ms. */
export function chooseLease (limitMs: number): number {
  return Math.min(TASK_LEASE_MS, limitMs)
}
