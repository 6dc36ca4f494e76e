import { Type, type Static } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'
import { done, failureOf, notDone, parseJson, rethrow, sleep, valueOf, type Outcome } from '@gypsumspring/protocol'
import { MAX_COMMIT_COPIES, COMMIT_RESEND_FACTOR, MIN_COMMIT_RESEND_MS } from '../constants/index.ts'
import type { Commit, CommitResult, RecordStore, RowAddress, StoredRow } from '../ports.ts'
import { LatencyAverage } from '../latencyAverage/LatencyAverage.ts'

/** Times that an unanswered claim is sent again; the answer to a repeat tells whether the claim has succeeded. */
const CLAIM_ROUNDS = 4

/** Times that an unanswered transfer is sent again. */
const TRANSFER_ROUNDS = 2

export const CONTROL_TABLE = 'control'
const OWNER_KEY = 'owner'

/** Who decides for a cell. Each commit of the owner rewrites the row, so that commits form a chain. */
export const OwnerRecord = Type.Object({
  node: Type.String(),
  /** RPC address. */
  address: Type.String(),
  /** Fencing token; rises with each owner. */
  token: Type.Integer({ minimum: 0 }),
  /** Rises with each commit of one owner. */
  sequence: Type.Integer({ minimum: 0 }),
  /** The owner has stopped; nothing has to be waited for. */
  released: Type.Boolean()
})
export type OwnerRecord = Static<typeof OwnerRecord>

/** An ownership on its way from one node to another. */
export interface Transfer {
  record: OwnerRecord
  version: number
}

export interface OwnerRow {
  version: number
  record: OwnerRecord | undefined
}

/**
 * Reads who owns a cell.
 *
 * @param store - The store.
 * @param cell - Partition of the cell.
 * @returns The row; without a record when nobody ever owned the cell or the bytes can't be read.
 */
export async function readOwner (store: RecordStore, cell: string): Promise<Outcome<OwnerRow>> {
  const row = await store.readRow(CONTROL_TABLE, cell, OWNER_KEY)
  return row.map((found) => found === undefined ? { version: 0, record: undefined } : toOwnerRow(found))
}

function toOwnerRow (row: StoredRow): OwnerRow {
  return { version: row.version, record: decode(row.value) }
}

function decode (value: Uint8Array | undefined): OwnerRecord | undefined {
  const record = value === undefined ? undefined : parseJson(value)
  return Value.Check(OwnerRecord, record) ? record : undefined
}

/**
 * The right to write for a cell. A commit checks the version that the previous one left, so a commit that arrives late,
 * and every commit of an owner that was replaced, fails.
 */
export class Ownership {
  readonly #store: RecordStore
  readonly #cell: string
  #record: OwnerRecord
  #version: number
  #lost = false
  /** Steady time of the sending of the last commit that succeeded, in ms. */
  confirmedAt: number

  private constructor (store: RecordStore, cell: string, record: OwnerRecord, version: number, confirmedAt: number) {
    this.#store = store
    this.#cell = cell
    this.#record = record
    this.#version = version
    this.confirmedAt = confirmedAt
  }

  /** Takes the cell over from what `previous` says. `conflict` when somebody else was faster. */
  static async claim (
    store: RecordStore, cell: string, previous: OwnerRow, self: { node: string, address: string }
  ): Promise<Outcome<Ownership>> {
    const record = { ...self, token: (previous.record?.token ?? 0) + 1, sequence: 0, released: false }
    const ownership = new Ownership(store, cell, record, previous.version, performance.now())
    const written = await ownership.#write({ ...record }, [], [], CLAIM_ROUNDS)
    const lost = notDone('conflict', 'another node took the cell over')
    return written.chain((committed) => committed ? done(ownership) : lost)
  }

  get token (): number {
    return this.#record.token
  }

  get isLost (): boolean {
    return this.#lost
  }

  /** Writes rows of the cell. Resolves with false when the ownership was lost; keeps trying while the store is away. */
  async commit (puts: Commit['puts'], removes: RowAddress[] = []): Promise<boolean> {
    const record = { ...this.#record, sequence: this.#record.sequence + 1 }
    const written = await this.#write(record, puts, removes, Infinity)
    return written.orDefault(false)
  }

  /** Continues an ownership that its previous owner has transferred to this node. */
  static resume (store: RecordStore, cell: string, { record, version }: Transfer): Ownership {
    return new Ownership(store, cell, record, version, performance.now())
  }

  /**
   * Writes rows of the cell for the last time and gives it to another node or, without one, up, so that nobody has to
   * wait until the silence of this node is noticed.
   *
   * @returns what the other node needs to go on; undefined when the cell was given up or the write didn't succeed
   */
  async transfer (puts: Commit['puts'], successor?: { node: string, address: string }): Promise<Transfer | undefined> {
    const record = successor === undefined
      ? { ...this.#record, sequence: this.#record.sequence + 1, released: true }
      : { ...successor, token: this.token + 1, sequence: 0, released: false }
    const written = await this.#write(record, puts, [], TRANSFER_ROUNDS)
    this.#lost = true
    return written.orDefault(false) && successor !== undefined ? { record, version: this.#version } : undefined
  }

  /** Ends all attempts to write. */
  abandon (): void {
    this.#lost = true
  }

  async #write (
    record: OwnerRecord, puts: Commit['puts'], removes: RowAddress[], rounds: number
  ): Promise<Outcome<boolean>> {
    const value = Buffer.from(JSON.stringify(record))
    const owner = { table: CONTROL_TABLE, key: OWNER_KEY }
    const commit: Commit = {
      partition: this.#cell,
      expected: [{ ...owner, version: this.#version }],
      puts: [{ ...owner, value }, ...puts],
      removes
    }
    let outcome: Outcome<CommitResult> = notDone('closed', 'the ownership was lost')
    for (let round = 0; round < rounds && !this.#lost; round++) {
      const sentAt = performance.now()
      outcome = await commitRepeatedly(this.#store, Array.from({ length: MAX_COMMIT_COPIES }, () => commit))
      const result = valueOf(outcome)
      if (result !== undefined) return done(this.#settle(result, record, value, sentAt))
      await sleep(MIN_COMMIT_RESEND_MS)
    }
    return outcome.map(() => false)
  }

  #settle (result: CommitResult, record: OwnerRecord, value: Buffer, sentAt: number): boolean {
    const current = result.kind === 'conflict' ? result.rows.find(({ key }) => key === OWNER_KEY) : undefined
    const version = result.kind === 'committed' ? result.version : current?.version
    const isOwn = result.kind === 'committed' || (current?.value !== undefined && value.equals(current.value))
    if (!isOwn || version === undefined) {
      this.#lost = true
      return false
    }
    this.#record = record
    this.#version = version
    this.confirmedAt = sentAt
    return true
  }
}

/**
 * Sends copies of a commit one after the other while no answer comes. A copy for another partition is sent at once when
 * a partition refuses. Only for commits that may be carried out more than once, or of which at most one can succeed.
 *
 * @param store - The store.
 * @param copies - The copies, in the order in which they are tried.
 * @returns The first answer that tells what was written, else the last failure; `unknown` when any copy was.
 */
export async function commitRepeatedly (store: RecordStore, copies: readonly Commit[]): Promise<Outcome<CommitResult>> {
  const usual = usualTimeOf(store)
  let settled = false
  let open = 0
  let sent = 0
  let uncertain: Outcome<CommitResult> | undefined
  return await new Promise((resolve) => {
    const settle = (outcome: Outcome<CommitResult>) => {
      settled = true
      resolve(outcome)
    }
    const send = async () => {
      const copy = copies[sent++]!
      open++
      const sentAt = performance.now()
      const outcome = await store.commit(copy)
      open--
      if (outcome.isRight()) usual.record(performance.now() - sentAt)
      if (settled) return
      if (outcome.isRight()) {
        settle(outcome)
        return
      }
      if (isUncertain(outcome)) uncertain = outcome
      if (sent < copies.length && copies[sent]!.partition !== copy.partition) await send()
      else if (open === 0) settle(uncertain ?? outcome)
    }
    const run = async () => {
      send().catch(rethrow)
      for (let waitMs = Math.max(MIN_COMMIT_RESEND_MS,
        COMMIT_RESEND_FACTOR * usual.ms); sent < copies.length; waitMs *= 2) {
        await sleep(waitMs)
        if (settled) return
        if (sent < copies.length) send().catch(rethrow)
      }
    }
    run().catch(rethrow)
  })
}

function isUncertain (outcome: Outcome<unknown>): boolean {
  return failureOf(outcome)?.certainty === 'unknown'
}

/** Times of the writes to each store. */
const usualTimes = new WeakMap<RecordStore, LatencyAverage>()

function usualTimeOf (store: RecordStore): LatencyAverage {
  const known = usualTimes.get(store) ?? new LatencyAverage()
  usualTimes.set(store, known)
  return known
}
