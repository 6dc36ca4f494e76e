import { done, failureOf, notDone, parseJson, sleep, throwUncaught, valueOf, type Outcome } from '@gypsumspring/protocol'
import { Type } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'
import { commitHedged } from '../commitHedged/index.ts'
import type { Commit, RecordStore, StoredRow } from '../ports.ts'
import { FENCE_KEY, FENCES_TABLE, JOBS_TABLE, toJobPartitions } from '../records/index.ts'

/** Least time between two raises of the fence of one partition, in ms. Under load, calls share them. */
const MIN_RAISE_INTERVAL_MS = 250

/** Most ids that one raise checks; a transaction is limited to 100 entries. */
const MAX_IDS_PER_RAISE = 90

/** Most ids that wait for a raise of one partition; further calls are refused. */
const MAX_WAITING_IDS = 500

/** Time for which a fence lists the ids that it was raised for, in ms; calls that store a job take up to 3 s. */
const LISTED_MS = 4_000

/** Most ids that a fence lists. */
const MAX_LISTED_IDS = 200

const FenceValue = Type.Array(Type.String())

/** What a refused write of a job has shown about its cause. */
type Conflict = 'stored' | 'cancelled' | 'fenced'

/**
 * Fences off job writes that are still on their way to the store. Each partition has a fence row, and a job is stored
 * only under the condition that the fence still has the version that the writing node knows. Raising the fence changes
 * its version, so that the store refuses all writes that were sent before, also those of nodes that have ended.
 */
export class JobFences {
  readonly #store: RecordStore
  /** Versions of the fences as last seen, by partition; a fence that was never raised has version 0. */
  readonly #versions = new Map<string, number>()
  readonly #raisers = new Map<string, FenceRaiser>()

  constructor (store: RecordStore) {
    this.#store = store
  }

  /** Creates the commits that store a job unless it is stored or has been fenced off, one for each partition. */
  createCommits (id: string, value: Uint8Array): Commit[] {
    const key = { table: JOBS_TABLE, key: id }
    return toJobPartitions(id).map((partition) => ({
      partition,
      expected: [
        { ...key, version: 0 },
        { table: FENCES_TABLE, key: FENCE_KEY, version: this.#versions.get(partition) ?? 0 }
      ],
      puts: [{ ...key, value }],
      removes: []
    }))
  }

  /**
   * Finds out why the store has refused to store a job, and updates the known versions, so that the job can be stored
   * after a conflict of the kind `fenced`.
   *
   * @param id - Id of the job.
   * @param rows - Current rows of the conflict; those that don't exist may be missing.
   */
  resolveConflict (id: string, rows: readonly StoredRow[]): Conflict {
    if (rows.some(({ table, version }) => table === JOBS_TABLE && version > 0)) return 'stored'
    const fence = rows.find(({ table }) => table === FENCES_TABLE)
    if (fence === undefined) for (const partition of toJobPartitions(id)) this.#versions.delete(partition)
    else this.#versions.set(fence.partition, fence.version)
    return decodeIds(fence?.value).includes(id) ? 'cancelled' : 'fenced'
  }

  /**
   * Fences off the writes of a job that may still be on their way to the store.
   *
   * @param id - Id of the job.
   * @returns Whether the job is stored. If not, no write that was sent before can store it any more.
   */
  async raise (id: string): Promise<Outcome<boolean>> {
    const raised = await Promise.all(toJobPartitions(id).map((partition) => this.#raiserOf(partition).raise(id)))
    if (raised.some((outcome) => valueOf(outcome) === true)) return done(true)
    return raised.find((outcome) => outcome.isLeft()) ?? done(false)
  }

  #raiserOf (partition: string): FenceRaiser {
    let raiser = this.#raisers.get(partition)
    if (raiser === undefined) this.#raisers.set(partition, raiser = new FenceRaiser(this.#store, partition))
    return raiser
  }
}

/** Raises the fence of one partition for the ids that have come since the last time. */
class FenceRaiser {
  readonly #store: RecordStore
  readonly #partition: string
  /** Receivers of the result, by id. */
  readonly #waiting = new Map<string, Array<(result: Outcome<boolean>) => void>>()
  /** Ids that the fence was raised for lately, with the monotonic time, in ms. */
  #listed: Array<{ id: string, at: number }> = []
  #isRunning = false

  constructor (store: RecordStore, partition: string) {
    this.#store = store
    this.#partition = partition
  }

  /** @returns whether the job is stored in this partition */
  async raise (id: string): Promise<Outcome<boolean>> {
    const receivers = this.#waiting.get(id) ?? []
    if (receivers.length === 0 && this.#waiting.size >= MAX_WAITING_IDS) {
      return notDone('overloaded', 'too many calls for unknown jobs wait')
    }
    return await new Promise((resolve) => {
      this.#waiting.set(id, [...receivers, resolve])
      if (!this.#isRunning) this.#run().catch(throwUncaught)
    })
  }

  async #run (): Promise<void> {
    this.#isRunning = true
    while (this.#waiting.size > 0) {
      const receivers = new Map([...this.#waiting].slice(0, MAX_IDS_PER_RAISE))
      for (const id of receivers.keys()) this.#waiting.delete(id)
      await this.#raiseFor(receivers)
      await sleep(MIN_RAISE_INTERVAL_MS)
    }
    this.#isRunning = false
  }

  async #raiseFor (receivers: Map<string, Array<(result: Outcome<boolean>) => void>>): Promise<void> {
    this.#list([...receivers.keys()])
    const settle = (id: string, result: Outcome<boolean>) => {
      for (const receive of receivers.get(id) ?? []) receive(result)
      receivers.delete(id)
    }
    while (receivers.size > 0) {
      const outcome = await commitHedged(this.#store, [this.#createCommit([...receivers.keys()])])
      const result = valueOf(outcome)
      const stored = result?.kind !== 'conflict'
        ? []
        : result.rows.filter(({ table, version }) => table === JOBS_TABLE && version > 0)
      for (const { key } of stored) settle(key, done(true))
      // Without the ids of stored jobs, the next commit has no conflict.
      if (stored.length > 0) continue
      for (const id of [...receivers.keys()]) {
        if (result?.kind === 'committed') settle(id, done(false))
        else settle(id, notDone(failureOf(outcome)?.reason ?? 'invalid', 'the store does not answer'))
      }
    }
  }

  /** Lists ids in the fence. */
  #list (ids: readonly string[]): void {
    const now = performance.now()
    const recent = this.#listed.filter(({ at }) => now - at < LISTED_MS)
    this.#listed = [...ids.map((id) => ({ id, at: now })), ...recent].slice(0, MAX_LISTED_IDS)
  }

  #createCommit (ids: readonly string[]): Commit {
    const value = Buffer.from(JSON.stringify(this.#listed.map(({ id }) => id)))
    return {
      partition: this.#partition,
      expected: ids.map((key) => ({ table: JOBS_TABLE, key, version: 0 })),
      puts: [{ table: FENCES_TABLE, key: FENCE_KEY, value }],
      removes: []
    }
  }
}

function decodeIds (value: Uint8Array | undefined): string[] {
  const ids = value === undefined ? undefined : parseJson(value)
  return Value.Check(FenceValue, ids) ? ids : []
}
