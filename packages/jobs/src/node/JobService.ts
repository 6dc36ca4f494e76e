import { done, failureOf, notDone, throwUncaught, sleep, unknownEffect, valueOf, type Outcome } from '@gypsumspring/protocol'
import { ArrivalEstimator } from '../arrivalEstimator/ArrivalEstimator.ts'
import { decodeProgress } from '../model/index.ts'
import { PEER_CALL_TIMEOUT_MS } from '../constants/index.ts'
import type { CellOwner } from '../owner/CellOwner.ts'
import { commitHedged } from '../commitHedged/index.ts'
import { PendingCopies } from '../commitHedged/PendingCopies.ts'
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

/** Longest wait for the writes of a job to be fenced off, in ms. */
const FENCE_TIMEOUT_MS = 2_000

/** Result of accepting a job. */
export type Acceptance =
  | { kind: 'accepted' }
  /** The job was not stored and will not be. */
  | { kind: 'refused', reason: string }
  /** The job may have been stored, or may still be. */
  | { kind: 'uncertain', reason: string }

/** What the owner knows of a job. */
export interface OwnerAnswer {
  /** State of the job; undefined if the owner doesn't know it. */
  state: JobState | undefined
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
  readonly #arrivals = new ArrivalEstimator()

  constructor (store: FailoverStore, owner: OwnerAccess, metrics: MetricsRecorder) {
    this.#store = store
    this.fences = new JobFences(store)
    this.#owner = owner
    this.#metrics = metrics
  }

  start (): void {
    this.#arrivals.start()
  }

  stop (): void {
    this.#arrivals.stop()
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
    const beganAt = this.#arrivals.earliest
    const deadline = performance.now() + timeoutMs
    const value = encodeJob(job)
    const copies = new PendingCopies()
    const giveUp = (reason: string): Acceptance => ({ kind: copies.mayApply ? 'uncertain' : 'refused', reason })
    let reason = 'unavailable'
    while (performance.now() < deadline) {
      if (isAbandoned()) return giveUp('abandoned')
      if (!this.canAccept) return giveUp(copies.mayApply ? reason : 'unavailable')
      if (this.fences.isCancelled(job.id, beganAt)) return giveUp('cancelled')
      const commits = this.fences.createCommits(job.id, value)
      const outcome = await this.#awaitWhileAnswering(commitHedged(this.#store, commits, copies), deadline)
      const result = valueOf(outcome)
      const isRefused = result?.kind === 'conflict'
      // The job may be stored already, for instance by an earlier attempt or at another node.
      const isStored = isRefused && this.fences.resolveConflict(job.id, result.rows, result.nowMs).isStored
      if (result?.kind === 'committed' || isStored) {
        this.#notifyOwner('cell.accept', { job }, (owner) => owner.accept(job)).catch(throwUncaught)
        return { kind: 'accepted' }
      }
      if (isRefused) continue
      reason = failureOf(outcome)?.reason ?? reason
      this.#metrics.count('store_retries', { what: 'accept' })
      await sleep(ACCEPT_RETRY_DELAY_MS)
    }
    return giveUp(reason)
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
    const found = answer?.state === undefined ? await this.#fenceOff(id, answer !== undefined) : done(true)
    if (found.isLeft() || found.extract() === false) return found
    const outcome = await commitHedged(this.#store, toJobPartitions(id).map((partition) => (
      { partition, expected: [], puts: [{ table: CANCELS_TABLE, key: id, value: Buffer.from('{}') }], removes: [] })))
    if (outcome.isRight()) this.#notifyOwner('cell.cancel', { id }, (owner) => owner.cancel(id)).catch(throwUncaught)
    return outcome.map(() => true)
  }

  /**
   * Finds out whether a job that the owner doesn't know is stored, and fences off the writes of it that may be on their
   * way to the store. Any node may have sent some, also one that has ended, so that only the store can tell. The owner
   * does so for all nodes as long as it answers: calls for unknown jobs at many nodes cause no more writes than at one.
   */
  async #fenceOff (id: string, isOwnerAnswering: boolean): Promise<Outcome<boolean>> {
    if (isOwnerAnswering && this.#owner.local() === undefined) {
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
    return { state: (result.state as JobState | null) ?? undefined }
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
