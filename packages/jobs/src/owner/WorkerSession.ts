import { failureOf, notDone, sleep, valueOf, type Outcome } from '@gypsumspring/protocol'
import {
  CLOCK_DRIFT, LEASE_SLACK_MS, LOSSY_POLL_WAIT_MS, POLL_WAIT_MS, ORDER_RETRY_MS, TASK_LEASE_MS
} from '../constants/index.ts'
import type { LogWriter, StartResult, WorkerClient } from '../ports.ts'
import type { RunOrder, StartOrder, WorkerReport } from '../types.ts'
import type { AnswerLoss } from '../workers/AnswerLoss.ts'
import type { WorkerState } from '../workers/WorkerState.ts'

/** What a session needs from the owner of the cell. */
export interface WorkerSessionContext {
  /** Fencing token of the owner. */
  token: number
  /** Duration of task leases, in ms; at most what workers accept. */
  leaseMs: number
  log: LogWriter
  /** Shared by the sessions of all workers. */
  answerLoss: AnswerLoss
  /** Time that polls wait for a run to end while no answers are lost, in ms. */
  pollWaitMs (): number
  /** Whether task leases may still be renewed; false some time after the owner lost contact with the store. */
  mayRenewLeases (): boolean
  /** Called with each report of the worker. `sentAt` is the monotonic time of the request, in ms. */
  onReport (worker: WorkerState, report: WorkerReport, sentAt: number): void
  /** Resolves when the ended runs reported so far are stored, or after a short wait. */
  waitUntilStored (worker: WorkerState): Promise<void>
  /** Called when the worker has already accepted a higher token, from a newer owner. */
  onFenced (worker: WorkerState): void
  /** Called with a report of another incarnation, which has started under the worker's id. */
  onRestart (worker: WorkerState, report: WorkerReport): void
  /** Called when this incarnation of the worker no longer exists. */
  onExpired (worker: WorkerState): void
  onReachabilityChange (worker: WorkerState): void
}

/** Maximum time that a poll of a worker that is recorded as lost waits, in ms; a commit takes 13 ms. */
const RECORDED_POLL_WAIT_MS = 50

/** Polls one worker, which also renews the lease of its tasks, and sends orders to it. */
export class WorkerSession {
  readonly state: WorkerState
  /** Address at which the worker is called. */
  readonly address: string
  readonly #client: WorkerClient
  readonly #context: WorkerSessionContext
  /** Last known value of the worker's clock and the monotonic time of its arrival, in ms. */
  #clockReading: { workerMs: number, at: number } | undefined
  /** End of the last lease that was granted, on the worker's clock in ms. */
  #lastLeaseEnd: number | undefined
  #hasLoggedMissingStart = false
  /** Whether a connection to the incarnation that has answered last was open when it was last needed. */
  #isConnected = true
  /** Poll that identifies the incarnation for all start orders that wait for it. */
  #identification: Promise<boolean> | undefined
  #closed = false

  constructor (state: WorkerState, address: string, client: WorkerClient, context: WorkerSessionContext) {
    this.state = state
    this.address = address
    this.#client = client
    this.#context = context
  }

  async run (): Promise<void> {
    while (!this.#closed) {
      const sentAt = performance.now()
      // Shows which incarnation answers, and may therefore neither acknowledge ends nor renew leases.
      const isIdentifying = this.#clockReading === undefined || !this.state.reachable || !this.#isConnected
      const outcome = await this.#client.poll({
        token: this.#context.token,
        acknowledged: isIdentifying ? 0 : this.state.storedEndSequence,
        // While the worker doesn't answer, leases are not renewed, so that its tasks count as lost after a known time.
        leaseUntil: isIdentifying ? undefined : this.#renewLease(),
        waitMs: isIdentifying || this.state.storedEndSequence < this.state.processedEndSequence ? 0 : this.#pollWaitMs
      })
      if (this.#closed) return
      this.#isConnected = isIdentifying || !isUnconnected(outcome)
      if (!this.#isConnected) continue
      // Polls of a worker that does not answer at all say nothing about single lost answers.
      if (this.state.reachable) this.#context.answerLoss.record(failureOf(outcome)?.certainty === 'unknown')
      const report = valueOf(outcome)
      if (report === undefined || !this.#tellsIncarnation(report)) await this.#handleFailure(outcome)
      else if (this.#isRestarted(report)) this.#context.onRestart(this.state, report)
      else await this.#handleReport(report, sentAt, isIdentifying)
    }
  }

  async start (order: StartOrder): Promise<Outcome<StartResult>> {
    // Renewing the lease of a worker that doesn't answer would postpone the time at which its tasks count as lost.
    const leaseUntil = this.state.reachable ? this.#renewLease() : this.#currentLeaseEnd()
    if (leaseUntil === undefined) return notDone('unavailable', 'no task lease can be granted on the worker')
    const outcome = await this.#client.start(order, this.#context.token, leaseUntil)
    if (isSessionExpired(outcome)) this.#context.onExpired(this.state)
    // The worker may be unreachable: it gets no more tasks until it answers a poll.
    if (failureOf(outcome)?.certainty === 'unknown') this.#markUnreachable()
    return outcome
  }

  /** Finds out which incarnation answers over new connections. Returns whether it is still the one of this session. */
  identify (): Promise<boolean> {
    this.#identification ??= this.#identifyOnce().finally(() => { this.#identification = undefined })
    return this.#identification
  }

  async #identifyOnce (): Promise<boolean> {
    const report = valueOf(await this.#client.poll({ token: this.#context.token, acknowledged: 0 }))
    if (report === undefined || this.#closed || !this.#tellsIncarnation(report)) return false
    if (!this.#isRestarted(report)) return true
    this.#context.onRestart(this.state, report)
    return false
  }

  async stop (order: RunOrder): Promise<Outcome<void>> {
    const outcome = await this.#client.stop(order, this.#context.token)
    if (isSessionExpired(outcome)) this.#context.onExpired(this.state)
    return outcome
  }

  async pace (order: RunOrder, percent: number): Promise<Outcome<void>> {
    return await this.#client.pace(order, percent, this.#context.token)
  }

  close (): void {
    this.#closed = true
    this.#client.close()
  }

  get #pollWaitMs (): number {
    // Its leases can be renewed again as soon as the record is removed.
    if (this.state.isRecordedAsLost) return RECORDED_POLL_WAIT_MS
    if (!this.#context.answerLoss.isHigh) return this.#context.pollWaitMs()
    return this.state.isInUse ? LOSSY_POLL_WAIT_MS : POLL_WAIT_MS
  }

  /** Extends the lease. Returns its end on the worker's clock, or undefined when none may be granted. */
  #renewLease (): number | undefined {
    if (this.#clockReading === undefined || this.state.isRecordedAsLost || !this.#context.mayRenewLeases()) {
      return undefined
    }
    const now = performance.now()
    const { leaseMs } = this.#context
    this.state.leaseEndsBy = Math.max(this.state.leaseEndsBy, now + toLongestLeaseMs(leaseMs))
    this.#lastLeaseEnd = Math.floor(this.#clockReading.workerMs + (now - this.#clockReading.at) + leaseMs)
    return this.#lastLeaseEnd
  }

  /** End of the last granted lease on the worker's clock; undefined when it is over. */
  #currentLeaseEnd (): number | undefined {
    if (this.#clockReading === undefined || this.#lastLeaseEnd === undefined) return undefined
    const workerNow = this.#clockReading.workerMs + (performance.now() - this.#clockReading.at)
    return this.#lastLeaseEnd > workerNow ? this.#lastLeaseEnd : undefined
  }

  #markUnreachable (): void {
    if (!this.state.reachable) return
    this.state.reachable = false
    this.#context.onReachabilityChange(this.state)
  }

  /** A worker that has told its start tells it with each report; without it, the report may be of any incarnation. */
  #tellsIncarnation ({ startedAt }: WorkerReport): boolean {
    if (startedAt !== undefined || this.state.startedAt === undefined) return true
    if (!this.#hasLoggedMissingStart) {
      this.#context.log.warn({ worker: this.state.id }, 'report of a worker lacks its start time and was ignored')
    }
    this.#hasLoggedMissingStart = true
    return false
  }

  #isRestarted ({ startedAt }: WorkerReport): boolean {
    return this.state.startedAt !== undefined && this.state.startedAt !== startedAt
  }

  async #handleReport (report: WorkerReport, sentAt: number, isIdentifying: boolean): Promise<void> {
    const now = performance.now()
    this.state.startedAt = report.startedAt
    this.#clockReading = { workerMs: report.clockMs, at: now }
    // The first poll fences earlier owners, so that all their leases were granted before this answer.
    if (!this.state.hasAnswered) {
      this.state.leaseEndsBy = Math.min(this.state.leaseEndsBy, now + toLongestLeaseMs(this.#context.leaseMs))
    }
    const wasReachable = this.state.reachable
    this.state.reachable = true
    this.#context.onReport(this.state, report, sentAt)
    if (!wasReachable) this.#context.onReachabilityChange(this.state)
    const { storedEndSequence, processedEndSequence } = this.state
    if (!isIdentifying && storedEndSequence < processedEndSequence) await this.#context.waitUntilStored(this.state)
  }

  async #handleFailure (outcome: Outcome<WorkerReport>): Promise<void> {
    if (isSessionExpired(outcome)) {
      this.#context.onExpired(this.state)
      return
    }
    const reason = failureOf(outcome)?.reason
    if (reason === 'stale-epoch') {
      this.#context.onFenced(this.state)
      return
    }
    const isFirstFailure = this.state.reachable
    this.#markUnreachable()
    // The first unanswered poll is repeated at once: most likely only that message was lost.
    if (!isFirstFailure) await sleep(ORDER_RETRY_MS)
  }
}

function isSessionExpired (outcome: Outcome<unknown>): boolean {
  return failureOf(outcome)?.reason === 'session-expired'
}

/** Whether a call was not sent since no connection to the incarnation that it was for is open. */
export function isUnconnected (outcome: Outcome<unknown>): boolean {
  const failure = failureOf(outcome)
  return failure?.certainty === 'not-done' && failure.reason === 'closed'
}

/** Time from the grant of a lease until it is certainly over, in ms. */
export function toLongestLeaseMs (leaseMs: number): number {
  return leaseMs * (1 + CLOCK_DRIFT) + LEASE_SLACK_MS
}

/** Duration of task leases under the platform's limit, both in ms. */
export function chooseLeaseMs (limitMs: number): number {
  return Math.min(TASK_LEASE_MS, limitMs)
}
