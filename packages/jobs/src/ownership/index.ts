import { Type, type Static } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'
import { done, notDone, parseJson, sleep, valueOf, type Outcome } from '@gypsumspring/protocol'
import { COMMIT_RETRY_MS } from '../constants/index.ts'
import { commitHedged } from '../commitHedged/index.ts'
import { measureLongestElapsed, readInstant, type Instant } from '../instant/index.ts'
import type { Commit, CommitResult, RecordStore, RowAddress, StoredRow } from '../ports.ts'
import { StoreClock } from '../storeClock/StoreClock.ts'

/** Most attempts at a claim; the answer to a repeat tells whether an earlier attempt has succeeded. */
const CLAIM_ATTEMPTS = 4

/** Most attempts at a transfer. */
const TRANSFER_ATTEMPTS = 2

/** Table that holds the row of the owner. */
export const CONTROL_TABLE = 'control'
export const OWNER_KEY = 'owner'

/** The last owner before a new one that may have granted task leases. */
const Predecessor = Type.Object({
  node: Type.String(),
  token: Type.Integer({ minimum: 0 }),
  /** It has ended, so that it renews no leases any more. */
  hasEnded: Type.Boolean(),
  /** The time that it has stored as `earlierLeasesEndAt`. */
  earlierLeasesEndAt: Type.Union([Type.Number(), Type.Null()]),
  /** Time on the store's clock by which it had ended or been replaced, in ms; null if not known. */
  replacedBy: Type.Union([Type.Number(), Type.Null()])
})
export type Predecessor = Static<typeof Predecessor>

/** The owner of a cell. Each commit of the owner rewrites this row, so that commits can only succeed in order. */
export const OwnerRecord = Type.Object({
  node: Type.String(),
  /** RPC address of the node. */
  address: Type.String(),
  /** Fencing token; increases with each change of the owner. */
  token: Type.Integer({ minimum: 0 }),
  /** Increases with each commit of the owner. */
  sequence: Type.Integer({ minimum: 0 }),
  /** The owner has stopped, so that the cell can be claimed at once. */
  released: Type.Boolean(),
  /**
   * Time on the store's clock by which all task leases that owners before this one have granted are over, in ms; null
   * if it is not known yet, or the store does not tell its time. Owners that don't know of this field omit it.
   */
  earlierLeasesEndAt: Type.Optional(Type.Union([Type.Number(), Type.Null()])),
  /** Present until a commit of this owner after its recovery; before that, it grants no leases. */
  predecessor: Type.Optional(Predecessor)
})
export type OwnerRecord = Static<typeof OwnerRecord>

/** What a node needs to continue an ownership that was transferred to it. */
export interface Transfer {
  record: OwnerRecord
  version: number
}

/** The row of the owner, as it was read; version 0 when it is absent. */
export interface OwnerRow {
  version: number
  record: OwnerRecord | undefined
}

/**
 * Reads the owner of a cell.
 *
 * @param store - The store.
 * @param partition - Partition of the cell.
 * @returns The row; its record is undefined when the cell never had an owner or the value can't be decoded.
 */
export async function readOwner (store: RecordStore, partition: string): Promise<Outcome<OwnerRow>> {
  const row = await store.readRow(CONTROL_TABLE, partition, OWNER_KEY)
  return row.map((found) => found === undefined ? { version: 0, record: undefined } : toOwnerRow(found))
}

function toOwnerRow (row: StoredRow): OwnerRow {
  return { version: row.version, record: decodeOwnerRecord(row.value) }
}

function decodeOwnerRecord (value: Uint8Array | undefined): OwnerRecord | undefined {
  const record = value === undefined ? undefined : parseJson(value)
  if (Value.Check(OwnerRecord, record)) return record
  // Without the token, the next owner would be fenced off by the workers.
  const { predecessor: _, ...known } = Object(record) as Partial<OwnerRecord>
  const withoutEarlierLeases = { ...known, earlierLeasesEndAt: null }
  return Value.Check(OwnerRecord, withoutEarlierLeases) ? withoutEarlierLeases : undefined
}

/**
 * The exclusive right to write the rows of a cell. Each commit expects the version that the previous one left, so late
 * copies of a commit and commits of a replaced owner fail.
 */
export class Ownership {
  readonly #store: RecordStore
  readonly #partition: string
  #record: OwnerRecord
  #version: number
  #lost = false
  readonly clock = new StoreClock()
  /** The last owner before this one that may have granted leases; undefined if there is none. */
  readonly predecessor: Predecessor | undefined
  #ownedBy = performance.now()
  /** When the last successful commit was sent; undefined before this node's first one. */
  #confirmedAt: Instant | undefined
  /** Monotonic time by which all leases of earlier owners are over, in ms; stored with the next commit. */
  earlierLeasesEnd: number | undefined

  private constructor (store: RecordStore, partition: string, record: OwnerRecord, version: number) {
    this.#store = store
    this.#partition = partition
    this.#record = record
    this.#version = version
    this.predecessor = record.predecessor
  }

  /**
   * Claims the cell if its owner row is still `previous`; fails with `conflict` when another node was faster.
   *
   * @param hasEnded - Whether the previous owner has ended.
   */
  static async claim (
    store: RecordStore, partition: string, previous: OwnerRow, self: { node: string, address: string }, hasEnded = false
  ): Promise<Outcome<Ownership>> {
    const token = (previous.record?.token ?? 0) + 1
    const leases = describeEarlierLeases(previous.record, { hasEnded, replacedBy: null })
    const record = { ...self, token, sequence: 0, released: false, ...leases }
    const ownership = new Ownership(store, partition, record, previous.version)
    const written = await ownership.#write({ ...record }, [], [], CLAIM_ATTEMPTS)
    ownership.#ownedBy = performance.now()
    const lost = notDone('conflict', 'another node took the cell over')
    return written.chain((committed) => committed ? done(ownership) : lost)
  }

  get token (): number {
    return this.#record.token
  }

  get isLost (): boolean {
    return this.#lost
  }

  /** Monotonic time by which this node owned the cell, in ms. */
  get ownedBy (): number {
    return this.#ownedBy
  }

  /** Whether this owner may grant leases: a later one would know of them. */
  get mayGrantLeases (): boolean {
    return this.#record.predecessor === undefined
  }

  /** Longest time that may have passed since a commit showed that this node owns the cell, in ms. */
  get unconfirmedMs (): number {
    return this.#confirmedAt === undefined ? Infinity : measureLongestElapsed(this.#confirmedAt)
  }

  /** Writes rows of the cell; retries while the store is unreachable. Resolves with false when ownership was lost. */
  async commit (puts: Commit['puts'], removes: RowAddress[] = []): Promise<boolean> {
    const record = { ...this.#continuedRecord(), sequence: this.#record.sequence + 1 }
    const written = await this.#write(record, puts, removes, Infinity)
    return written.orDefault(false)
  }

  /** Continues an ownership that the previous owner has transferred to this node. */
  static resume (store: RecordStore, partition: string, { record, version }: Transfer): Ownership {
    return new Ownership(store, partition, record, version)
  }

  /**
   * Writes rows of the cell for the last time and transfers the cell to another node or, without one, releases it, so
   * that the next owner does not have to wait for a timeout. From now on, this owner must not grant any leases.
   *
   * @returns What the successor needs to continue; undefined when the cell was released or the write failed.
   */
  async transfer (puts: Commit['puts'], successor?: { node: string, address: string }): Promise<Transfer | undefined> {
    const current = this.#continuedRecord()
    const endedAt = this.clock.toStore(performance.now()) ?? null
    const record = successor === undefined
      ? { ...current, sequence: current.sequence + 1, released: true }
      : {
          ...successor,
          token: this.token + 1,
          sequence: 0,
          released: false,
          ...describeEarlierLeases(current, { hasEnded: true, replacedBy: endedAt })
        }
    const written = await this.#write(record, puts, [], TRANSFER_ATTEMPTS)
    this.#lost = true
    return written.orDefault(false) && successor !== undefined ? { record, version: this.#version } : undefined
  }

  /** Stops all attempts to write. */
  abandon (): void {
    this.#lost = true
  }

  /** The record of this owner with what is known of earlier leases by now. */
  #continuedRecord (): OwnerRecord {
    const { predecessor, ...record } = this.#record
    if (typeof record.earlierLeasesEndAt === 'number') return record
    if (this.earlierLeasesEnd !== undefined) {
      return { ...record, earlierLeasesEndAt: this.clock.toStore(this.earlierLeasesEnd) ?? null }
    }
    if (predecessor === undefined) return record
    const replacedBy = predecessor.replacedBy ?? this.clock.toStore(this.#ownedBy) ?? null
    return { ...record, predecessor: { ...predecessor, replacedBy } }
  }

  async #write (
    record: OwnerRecord, puts: Commit['puts'], removes: RowAddress[], attempts: number
  ): Promise<Outcome<boolean>> {
    const value = Buffer.from(JSON.stringify(record))
    const ownerRow = { table: CONTROL_TABLE, key: OWNER_KEY }
    const commit: Commit = {
      partition: this.#partition,
      expected: [{ ...ownerRow, version: this.#version }],
      puts: [{ ...ownerRow, value }, ...puts],
      removes
    }
    let outcome: Outcome<CommitResult> = notDone('closed', 'the ownership was lost')
    for (let attempt = 0; attempt < attempts && !this.#lost; attempt++) {
      const sentAt = readInstant()
      outcome = await commitHedged(this.#store, [commit])
      const result = valueOf(outcome)
      if (result !== undefined) return done(this.#applyResult(result, record, value, sentAt))
      await sleep(COMMIT_RETRY_MS)
    }
    return outcome.map(() => false)
  }

  /** Updates the state after a commit; a conflict with a row that equals the written one means that it succeeded. */
  #applyResult (result: CommitResult, record: OwnerRecord, value: Buffer, sentAt: Instant): boolean {
    const current = result.kind === 'conflict' ? result.rows.find(({ key }) => key === OWNER_KEY) : undefined
    const version = result.kind === 'committed' ? result.version : current?.version
    const isApplied = result.kind === 'committed' || (current?.value !== undefined && value.equals(current.value))
    if (!isApplied || version === undefined) {
      this.#lost = true
      return false
    }
    if (result.kind === 'committed') this.clock.record(result.nowMs, sentAt)
    this.#record = record
    this.#version = version
    this.#confirmedAt = sentAt
    return true
  }
}

/**
 * Returns what the record of a new owner tells of earlier leases.
 *
 * @param previous - Record of the previous owner, if there was one.
 * @param end - What is known of the end of that owner.
 */
function describeEarlierLeases (
  previous: OwnerRecord | undefined, end: Pick<Predecessor, 'hasEnded' | 'replacedBy'>
): Pick<OwnerRecord, 'earlierLeasesEndAt' | 'predecessor'> {
  if (previous === undefined) return { earlierLeasesEndAt: 0 }
  const { node, token, earlierLeasesEndAt = null, predecessor } = previous
  // With a predecessor in its record, the previous owner has granted no leases.
  return { earlierLeasesEndAt: null, predecessor: predecessor ?? { node, token, earlierLeasesEndAt, ...end } }
}
