import { done, rethrow, sleep, unknownEffect, valueOf, type Outcome } from '@gypsumspring/protocol'
import { decodeProgress } from '../model/index.ts'
import { PEER_CALL_TIMEOUT_MS } from '../constants/index.ts'
import type { CellOwner } from '../owner/CellOwner.ts'
import { commitRepeatedly } from '../ownership/index.ts'
import type { MetricsRecorder } from '../ports.ts'
import {
  CANCELS_TABLE, CELL_PARTITION, JOBS_TABLE, PROGRESS_TABLE, encodeJob, toJobPartitions
} from '../records/index.ts'
import type { Job, JobState } from '../types.ts'
import type { CellParams } from './messages.ts'
import type { Peer, RelayedStore } from './RelayedStore.ts'

/** Time between two looks at whether a write is still worth waiting for, in ms. */
const WATCH_INTERVAL_MS = 50

/** Wait before a job that could not be stored is written again, in ms. */
const ACCEPT_RETRY_MS = 60

export type Acceptance =
  | { kind: 'accepted' }
  /** Not stored, and never will be. */
  | { kind: 'refused', reason: string }
  /** May have been stored. */
  | { kind: 'uncertain', reason: string }

/** The way to the owner of the cell: it is on this node, on another one, or not known. */
export interface OwnerAccess {
  local (): CellOwner | undefined
  peer (): Peer | undefined
}

/** Serves callers on any node: jobs are stored here, and the owner is told or asked. */
export class JobService {
  readonly #store: RelayedStore
  readonly #owner: OwnerAccess
  readonly #counters: MetricsRecorder

  constructor (store: RelayedStore, owner: OwnerAccess, counters: MetricsRecorder) {
    this.#store = store
    this.#owner = owner
    this.#counters = counters
  }

  /** Whether jobs can be accepted here: the store has answered a short while ago. */
  get canAccept (): boolean {
    return this.#store.isAnswering
  }

  /** Stores a job. `deadlineMs` is how long the caller waits. */
  async accept (job: Job, deadlineMs: number): Promise<Acceptance> {
    const giveUpAt = performance.now() + deadlineMs
    const key = { table: JOBS_TABLE, key: job.id }
    const commits = toJobPartitions(job.id).map((partition) => (
      { partition, expected: [{ ...key, version: 0 }], puts: [{ ...key, value: encodeJob(job) }], removes: [] }))
    let uncertain = false
    let reason = 'unavailable'
    while (performance.now() < giveUpAt) {
      if (!this.canAccept) return uncertain ? { kind: 'uncertain', reason } : { kind: 'refused', reason: 'unavailable' }
      const outcome = await this.#whileAnswering(commitRepeatedly(this.#store, commits), giveUpAt)
      const result = valueOf(outcome)
      if (result !== undefined) {
        this.#notifyOwner('cell.accept', { job }, (owner) => owner.accept(job)).catch(rethrow)
        return { kind: 'accepted' }
      }
      outcome.ifLeft((failure) => {
        uncertain ||= failure.certainty === 'unknown'
        reason = failure.reason
      })
      this.#counters.count('store_retries', { what: 'accept' })
      await sleep(ACCEPT_RETRY_MS)
    }
    return uncertain ? { kind: 'uncertain', reason } : { kind: 'refused', reason }
  }

  /** The outcome of a write, or `unknown` as soon as waiting for it has no use any more. */
  async #whileAnswering<Value> (write: Promise<Outcome<Value>>, giveUpAt: number): Promise<Outcome<Value>> {
    let settled: Outcome<Value> | undefined
    write.then((outcome) => { settled = outcome }).catch(rethrow)
    const watch = async (): Promise<Outcome<Value>> => {
      while (this.canAccept && performance.now() < giveUpAt) await sleep(WATCH_INTERVAL_MS)
      return settled ?? unknownEffect('timeout', 'the store does not answer')
    }
    return await Promise.race([write, watch()])
  }

  /** State to show for a job; undefined when no such job was accepted. */
  async show (id: string): Promise<Outcome<JobState | undefined>> {
    const answer = await this.#askOwner(id)
    if (answer !== undefined) return done(answer)
    const progress = await this.#store.readRow(PROGRESS_TABLE, CELL_PARTITION, id)
    if (progress.isLeft()) return progress as Outcome<never>
    const value = progress.unsafeCoerce()?.value
    const known = value === undefined ? undefined : decodeProgress(value)
    if (known !== undefined) return done(known.state)
    const stored = await this.#isStored(id)
    return stored.map((found) => found ? 'queued' : undefined)
  }

  /** Whether a job was accepted, by the rows of the nodes that accepted it. */
  async #isStored (id: string): Promise<Outcome<boolean>> {
    const rows = await Promise.all(toJobPartitions(id).map((partition) => this.#store.readRow(JOBS_TABLE,
      partition, id)))
    if (rows.some((row) => valueOf(row) !== undefined)) return done(true)
    return (rows.find((row) => row.isLeft()) as Outcome<never> | undefined) ?? done(false)
  }

  /** Stores that a job is cancelled. The result tells whether there is such a job. */
  async cancel (id: string): Promise<Outcome<boolean>> {
    const found = await this.#askOwner(id) !== undefined ? done(true) : await this.#isStored(id)
    if (found.isLeft() || found.extract() === false) return found
    const outcome = await commitRepeatedly(this.#store, toJobPartitions(id).map((partition) => (
      { partition, expected: [], puts: [{ table: CANCELS_TABLE, key: id, value: Buffer.from('{}') }], removes: [] })))
    if (outcome.isRight()) this.#notifyOwner('cell.cancel', { id }, (owner) => owner.cancel(id)).catch(rethrow)
    return outcome.map(() => true)
  }

  /** Jobs of a queue of which no task has started; undefined while no owner can tell. */
  async countPending (queue: string): Promise<number | undefined> {
    const local = this.#owner.local()
    if (local !== undefined) return local.countPending(queue)
    const answer = await this.#owner.peer()?.call('cell.pending', { queue }, { timeoutMs: PEER_CALL_TIMEOUT_MS })
    return answer?.map(({ pending }) => pending ?? undefined).orDefault(undefined)
  }

  /** Asks the owner for a job's state. Undefined when it can't tell. */
  async #askOwner (id: string): Promise<JobState | undefined> {
    const local = this.#owner.local()
    if (local !== undefined) return local.isRecovered ? local.stateOf(id) : undefined
    const answer = await this.#owner.peer()?.call('cell.show', { id }, { timeoutMs: PEER_CALL_TIMEOUT_MS })
    const result = answer === undefined ? undefined : valueOf(answer)
    return result?.known === true ? (result.state as JobState | null) ?? undefined : undefined
  }

  /** Tells the owner what was stored. A lost message costs time only: the owner reads the tables at intervals. */
  async #notifyOwner<Method extends 'cell.accept' | 'cell.cancel'> (
    method: Method, params: CellParams<Method>, local: (owner: CellOwner) => void
  ): Promise<void> {
    const owner = this.#owner.local()
    if (owner !== undefined) local(owner)
    else await this.#owner.peer()?.call(method, params, { timeoutMs: PEER_CALL_TIMEOUT_MS })
  }
}
