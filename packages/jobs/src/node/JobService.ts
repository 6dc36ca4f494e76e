import { done, notDone, throwUncaught, sleep, unknownEffect, valueOf, type Outcome } from '@gypsumspring/protocol'
import { decodeProgress } from '../model/index.ts'
import { LATE_WRITE_MS, PEER_CALL_TIMEOUT_MS } from '../constants/index.ts'
import type { CellOwner } from '../owner/CellOwner.ts'
import { commitHedged } from '../commitHedged/index.ts'
import type { MetricsRecorder } from '../ports.ts'
import {
  CANCELS_TABLE, CELL_PARTITION, JOBS_TABLE, PROGRESS_TABLE, encodeJob, toJobPartitions
} from '../records/index.ts'
import type { Job, JobState } from '../types.ts'
import { chooseRetryAfter } from './chooseRetryAfter/index.ts'
import { JobFences } from './JobFences.ts'
import type { CellParams } from './messages.ts'
import type { Peer, FailoverStore } from './FailoverStore.ts'

/** Interval at which a pending write checks that the store still answers, in ms. */
const WRITE_CHECK_INTERVAL_MS = 50

/** Wait before storing a job is tried again, in ms. */
const ACCEPT_RETRY_DELAY_MS = 60

/**
 * A call that stores a job counts as begun after the cancelling of that job if it has taken no longer than this, in ms.
 * The caller of a longer one may have given it up and cancelled the job.
 */
const CONCURRENT_CALL_MS = 500

/** Longest wait for the writes of a job to be fenced off, in ms. */
const FENCE_TIMEOUT_MS = 2_000

/** Time after which the owner is told that the store may carry out a write of a job late, in ms. */
const OVERDUE_WRITE_MS = 200

/** Result of accepting a job. */
export type Acceptance =
  | { kind: 'accepted' }
  /** The job was not stored and will not be. */
  | { kind: 'refused', reason: string }
  /** The job may have been stored, or may still be. */
  | { kind: 'uncertain', reason: string }

/** What the owner knows of a job. */
export interface OwnerAnswer {
  state: JobState | undefined
  /** Whether the store may still carry out writes of a job that the owner doesn't know, sent by any node. */
  hasUnsettledWrites: boolean
}

/** Access to the owner of the cell, which is on this node, on another one, or unknown. */
export interface OwnerAccess {
  /** The owner, when it is on this node. */
  local (): CellOwner | undefined
  /** The node of the owner, when it is another one that can be reached. */
  peer (): Peer | undefined
  /** What the owner on this node knows of a job; undefined without one, or while it has not recovered the cell. */
  describeJob (id: string): OwnerAnswer | undefined
}

/**
 * Serves job calls on any node of a cell: writes jobs and cancellations to the store, notifies the owner of them, and
 * asks the owner for the state of jobs.
 */
export class JobService {
  readonly #store: FailoverStore
  readonly #owner: OwnerAccess
  readonly #metrics: MetricsRecorder
  readonly fences: JobFences
  /** Calls that are storing a job, the oldest one first. */
  readonly #storing = new Set<{ id: string, startedAt: number }>()
  /** Monotonic time until which the store may carry out writes of jobs that it has not answered, in ms. */
  #unsettledUntil = -Infinity

  constructor (store: FailoverStore, owner: OwnerAccess, metrics: MetricsRecorder) {
    this.#store = store
    this.fences = new JobFences(store)
    this.#owner = owner
    this.#metrics = metrics
  }

  /** Whether jobs can be accepted on this node, that is, whether the store has answered recently. */
  get canAccept (): boolean {
    return this.#store.isAnswering
  }

  /** When callers whose requests were refused should come back, in whole seconds. */
  get retryAfterS (): number {
    return chooseRetryAfter(this.#store.silentMs)
  }

  /**
   * Stores a job.
   *
   * @param job - The job.
   * @param timeoutMs - Longest time that the caller waits, in ms.
   * @param isAbandoned - Whether the caller waits no longer; no further attempt is made then. Default: it does.
   */
  async accept (job: Job, timeoutMs: number, isAbandoned = () => false): Promise<Acceptance> {
    const call = { id: job.id, startedAt: performance.now() }
    this.#storing.add(call)
    try {
      return await this.#storeJob(job, call.startedAt, timeoutMs, isAbandoned)
    } finally {
      this.#storing.delete(call)
    }
  }

  /** Time for which the store may still carry out writes of jobs that this node has sent, in ms. */
  get unsettledMs (): number {
    const now = performance.now()
    const [oldest] = this.#storing
    if (oldest !== undefined && now - oldest.startedAt > OVERDUE_WRITE_MS) return LATE_WRITE_MS
    return Math.max(0, this.#unsettledUntil - now)
  }

  async #storeJob (
    job: Job, startedAt: number, timeoutMs: number, isAbandoned: () => boolean
  ): Promise<Acceptance> {
    const deadline = startedAt + timeoutMs
    const value = encodeJob(job)
    let uncertain = false
    let reason = 'unavailable'
    while (performance.now() < deadline) {
      if (isAbandoned()) return { kind: uncertain ? 'uncertain' : 'refused', reason: 'abandoned' }
      if (!this.canAccept) return uncertain ? { kind: 'uncertain', reason } : { kind: 'refused', reason: 'unavailable' }
      const commits = this.fences.createCommits(job.id, value)
      const outcome = await this.#awaitWhileAnswering(commitHedged(this.#store, commits), deadline)
      const result = valueOf(outcome)
      const conflict = result?.kind === 'conflict' ? this.fences.resolveConflict(job.id, result.rows) : undefined
      // The job may be stored already, for instance by an earlier attempt or at another node.
      if (result?.kind === 'committed' || conflict === 'stored') {
        this.#notifyOwner('cell.accept', { job }, (owner) => owner.accept(job)).catch(throwUncaught)
        return { kind: 'accepted' }
      }
      if (conflict === 'cancelled' && performance.now() - startedAt > CONCURRENT_CALL_MS) {
        return { kind: uncertain ? 'uncertain' : 'refused', reason: 'cancelled' }
      }
      if (conflict !== undefined) continue
      outcome.ifLeft((failure) => {
        if (failure.certainty === 'unknown') {
          uncertain = true
          this.#unsettledUntil = performance.now() + LATE_WRITE_MS
        }
        reason = failure.reason
      })
      this.#metrics.count('store_retries', { what: 'accept' })
      await sleep(ACCEPT_RETRY_DELAY_MS)
    }
    return uncertain ? { kind: 'uncertain', reason } : { kind: 'refused', reason }
  }

  /** Waits for a write; fails with certainty `unknown` when the store stops answering or the deadline has passed. */
  async #awaitWhileAnswering<Value> (write: Promise<Outcome<Value>>, deadline: number): Promise<Outcome<Value>> {
    let settled: Outcome<Value> | undefined
    write.then((outcome) => { settled = outcome }).catch(throwUncaught)
    const watch = async (): Promise<Outcome<Value>> => {
      while (this.canAccept && performance.now() < deadline) await sleep(WRITE_CHECK_INTERVAL_MS)
      return settled ?? unknownEffect('timeout', 'the store does not answer')
    }
    return await Promise.race([write, watch()])
  }

  /** Gets the state of a job; undefined when no such job was accepted. */
  async getState (id: string): Promise<Outcome<JobState | undefined>> {
    const state = (await this.#askOwner(id))?.state
    if (state !== undefined) return done(state)
    const progress = await this.#store.readRow(PROGRESS_TABLE, CELL_PARTITION, id)
    if (progress.isLeft()) return progress as Outcome<never>
    const value = progress.unsafeCoerce()?.value
    const decoded = value === undefined ? undefined : decodeProgress(value)
    if (decoded !== undefined) return done(decoded.state)
    const stored = await this.#isStored(id)
    return stored.map((found) => found ? 'queued' : undefined)
  }

  /** Checks in each partition where the job may have been stored whether it was accepted. */
  async #isStored (id: string): Promise<Outcome<boolean>> {
    const rows = await Promise.all(toJobPartitions(id).map((partition) => this.#store.readRow(JOBS_TABLE,
      partition, id)))
    if (rows.some((row) => valueOf(row) !== undefined)) return done(true)
    return (rows.find((row) => row.isLeft()) as Outcome<never> | undefined) ?? done(false)
  }

  /**
   * Stores the cancellation of a job. Returns whether there is such a job; if not, calls that were sent before and have
   * not stored it yet never will.
   */
  async cancel (id: string): Promise<Outcome<boolean>> {
    const answer = await this.#askOwner(id)
    const found = answer?.state === undefined ? await this.#settle(id, answer) : done(true)
    if (found.isLeft() || found.extract() === false) return found
    const outcome = await commitHedged(this.#store, toJobPartitions(id).map((partition) => (
      { partition, expected: [], puts: [{ table: CANCELS_TABLE, key: id, value: Buffer.from('{}') }], removes: [] })))
    if (outcome.isRight()) this.#notifyOwner('cell.cancel', { id }, (owner) => owner.cancel(id)).catch(throwUncaught)
    return outcome.map(() => true)
  }

  /**
   * Finds out whether a job that the owner doesn't know is stored, after which it stays so. Writes that may still be on
   * their way to the store are fenced off. The owner does so for all nodes as long as it answers, so that calls for
   * unknown jobs at many nodes cause no more writes than at one.
   */
  async #settle (id: string, answer: OwnerAnswer | undefined): Promise<Outcome<boolean>> {
    const isStoring = [...this.#storing].some((call) => call.id === id)
    if (answer?.hasUnsettledWrites === false && !isStoring) return await this.#isStored(id)
    if (answer !== undefined && this.#owner.local() === undefined) {
      const raised = await this.#owner.peer()?.call('cell.fence', { id }, { timeoutMs: FENCE_TIMEOUT_MS })
      const stored = raised === undefined ? undefined : valueOf(raised)?.stored
      if (stored !== undefined && stored !== null) return done(stored)
    }
    if (!this.canAccept) return notDone('unavailable', 'the store does not answer')
    return await this.#awaitWhileAnswering(this.fences.raise(id), performance.now() + FENCE_TIMEOUT_MS)
  }

  /** Counts the jobs of a queue of which no task has started; undefined while no owner can tell. */
  async countPending (queue: string): Promise<number | undefined> {
    const local = this.#owner.local()
    if (local !== undefined) return local.countPending(queue)
    const answer = await this.#owner.peer()?.call('cell.pending', { queue }, { timeoutMs: PEER_CALL_TIMEOUT_MS })
    return answer?.map(({ pending }) => pending ?? undefined).orDefault(undefined)
  }

  /** Asks the owner for the state of a job; undefined when the owner is unreachable or has not recovered the cell. */
  async #askOwner (id: string): Promise<OwnerAnswer | undefined> {
    if (this.#owner.local() !== undefined) return this.#owner.describeJob(id)
    const answer = await this.#owner.peer()?.call('cell.show', { id }, { timeoutMs: PEER_CALL_TIMEOUT_MS })
    const result = answer === undefined ? undefined : valueOf(answer)
    if (result?.known !== true) return undefined
    return { state: (result.state as JobState | null) ?? undefined, hasUnsettledWrites: result.hasUnsettledWrites }
  }

  /** Notifies the owner of what was stored. A lost message only adds delay, since the owner polls the tables. */
  async #notifyOwner<Method extends 'cell.accept' | 'cell.cancel'> (
    method: Method, params: CellParams<Method>, local: (owner: CellOwner) => void
  ): Promise<void> {
    const owner = this.#owner.local()
    if (owner !== undefined) local(owner)
    else await this.#owner.peer()?.call(method, params, { timeoutMs: PEER_CALL_TIMEOUT_MS })
  }
}
