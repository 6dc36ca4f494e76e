import { done, notDone, sleep, unknownEffect, type Outcome } from '@gypsumspring/protocol'
import type { Commit, CommitResult, RecordStore, RowChanges, StoredRow } from '../ports.ts'
import { Notifier } from '../notifier/Notifier.ts'

/**
 * Injected fault of one call to the store:
 * - `refused`: the call fails without an effect.
 * - `silent`: the call has no effect and times out.
 * - `lost`: the call takes effect, but the answer is lost.
 * - `late`: the call takes effect after `LATE_MS`, when the caller has given up.
 */
export type StoreFault = 'refused' | 'silent' | 'lost' | 'late' | undefined

interface Options {
  /** Latency of a call, in ms. Default: 5. */
  latencyMs?: number
}

/** Delay of a `late` call, in ms. */
const LATE_MS = 2_000

/** Offset of the store's clock from the process clock, in ms, so that code that assumes equal clocks fails. */
const CLOCK_OFFSET_MS = 5_000_000

/** Timeout of a call without an answer, in ms. */
const TIMEOUT_MS = 1_500

/** Largest value of a row that the store accepts, in bytes, as the platform has it. */
export const MAX_ROW_BYTES = 65_536

/** A partition refuses transactions when those that wait take longer than this, in ms, as the platform's does. */
const MAX_QUEUED_MS = 1_000

/** In-memory rows shared by several nodes. Each node accesses them through its own store with its own faults. */
export class MemoryRows {
  readonly rows = new Map<string, StoredRow>()
  history: StoredRow[] = []
  version = 0
  /** Oldest version after which changes can still be read. */
  oldest = 0
  readonly changed = new Notifier()
  /** Duration of a transaction in ms. Each partition executes its transactions one after the other. */
  transactionMs = 0
  /** Monotonic time until which the transactions of each partition take, in ms. */
  readonly #busyUntil = new Map<string, number>()

  /** Reading of the store's steady clock, which differs from the clocks of the processes. */
  get nowMs (): number {
    return performance.now() + CLOCK_OFFSET_MS
  }

  apply (commit: Commit): CommitResult {
    const { partition } = commit
    const current = commit.expected.map(({ table, key }) => this.rows.get(name(table, partition, key)) ??
      { table, partition, key, version: 0, value: undefined })
    if (current.some(({ version }, index) =>
      version !== commit.expected[index]!.version)) return { kind: 'conflict', rows: current, nowMs: this.nowMs }
    this.version++
    for (const { table, key, value } of commit.puts) {
      this.#write({
        table,
        partition,
        key,
        version: this.version,
        value
      })
    }
    for (const { table, key } of commit.removes) {
      this.#write({
        table,
        partition,
        key,
        version: this.version,
        value: undefined
      })
    }
    this.changed.notifyAll()
    return { kind: 'committed', version: this.version, nowMs: this.nowMs }
  }

  /** Returns the time until a transaction that is sent now is executed, in ms; undefined if too many wait already. */
  queueTransaction (partition: string): number | undefined {
    const now = performance.now()
    const waitMs = Math.max(0, (this.#busyUntil.get(partition) ?? 0) - now)
    if (waitMs > MAX_QUEUED_MS) return undefined
    this.#busyUntil.set(partition, now + waitMs + this.transactionMs)
    return waitMs + this.transactionMs
  }

  /** Drops the history, as the platform does from time to time. */
  compact (): void {
    this.oldest = this.version
    this.history = []
  }

  #write (row: StoredRow): void {
    const key = name(row.table, row.partition, row.key)
    if (row.value === undefined) this.rows.delete(key)
    else this.rows.set(key, row)
    this.history.push(row)
  }
}

/** Access of one node to the shared rows. */
export class MemoryRecordStore implements RecordStore {
  readonly #shared: MemoryRows
  readonly #latencyMs: number
  /** Chooses the fault to inject into each call. */
  fault: (call: 'commit' | 'read', partition: string) => StoreFault = () => undefined

  constructor (shared: MemoryRows, options: Options = {}) {
    this.#shared = shared
    this.#latencyMs = options.latencyMs ?? 5
  }

  async commit (commit: Commit): Promise<Outcome<CommitResult>> {
    const fault = this.fault('commit', commit.partition)
    const queuedMs = this.#shared.queueTransaction(commit.partition)
    await sleep(this.#latencyMs + (queuedMs ?? 0))
    if (queuedMs === undefined) return notDone('overloaded', 'too many transactions of the partition wait')
    if (fault === 'refused') return notDone('unavailable', 'the store refused the call')
    if (commit.puts.some(({ value }) => value.length > MAX_ROW_BYTES)) return notDone('invalid', 'a row is too large')
    if (fault === 'late') setTimeout(() => this.#shared.apply(commit), LATE_MS)
    const result = fault === undefined || fault === 'lost' ? this.#shared.apply(commit) : undefined
    if (fault === undefined) return done(result!)
    await sleep(TIMEOUT_MS)
    return unknownEffect('timeout', 'no answer from the store')
  }

  read (table: string, partition: string): Promise<Outcome<RowChanges>> {
    return this.#answer(partition, () => {
      const rows = [...this.#shared.rows.values()].filter((row) => row.table === table && row.partition === partition)
      return done({ rows, version: this.#shared.version, nowMs: this.#shared.nowMs })
    })
  }

  readRow (table: string, partition: string, key: string): Promise<Outcome<StoredRow | undefined>> {
    return this.#answer(partition, () => done(this.#shared.rows.get(name(table, partition, key))))
  }

  async changes (table: string, after: number, waitMs: number): Promise<Outcome<RowChanges>> {
    const find = () => this.#shared.history.filter((row) => row.table === table && row.version > after)
    if (waitMs > 0 && find().length === 0) await this.#shared.changed.wait(waitMs)
    return await this.#answer('', () => after < this.#shared.oldest
      ? notDone('not-found', 'the history does not reach back to this version')
      : done({ rows: find(), version: this.#shared.version, nowMs: this.#shared.nowMs }))
  }

  async #answer<Value> (partition: string, read: () => Outcome<Value>): Promise<Outcome<Value>> {
    const fault = this.fault('read', partition)
    await sleep(this.#latencyMs)
    if (fault === 'refused') return notDone('unavailable', 'the store refused the call')
    if (fault === undefined) return read()
    await sleep(TIMEOUT_MS)
    return unknownEffect('timeout', 'no answer from the store')
  }
}

function name (table: string, partition: string, key: string): string {
  return `${table}/${partition}/${key}`
}
