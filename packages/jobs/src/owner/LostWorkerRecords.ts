import { Type, type Static } from '@sinclair/typebox'
import { CONTROL_TABLE } from '../ownership/index.ts'
import type { Commit, RowAddress, StoredRow } from '../ports.ts'
import { decodeRow } from '../records/index.ts'
import type { StoreClock } from '../storeClock/StoreClock.ts'
import { Demand, type WorkerEntry } from '../types.ts'
import type { WorkerState } from '../workers/WorkerState.ts'
import type { Cell } from './Cell.ts'

const KEY_PREFIX = 'lost-worker/'

/**
 * Time for which a worker that never answered this owner has been silent before it is recorded, in ms. This owner could
 * not grant it any lease, so that the record costs nothing.
 */
const RECORD_INHERITED_AFTER_MS = 1_000

/**
 * The same for a worker that has answered this owner, in ms. When such a worker returns, its leases are renewed only
 * after the record has been removed.
 */
const RECORD_AFTER_MS = 2_500

/** Most records that one commit writes, so that there is room for the jobs. */
const MAX_WRITES_PER_COMMIT = 20

/** Rows of a commit that are left to removals of records, while there are any. */
export const REMOVAL_ROWS = 40

const LostWorkerRow = Type.Object({
  /** Time on the store's clock by which all leases on the worker are over, in ms. */
  leasesEndAt: Type.Number(),
  pool: Type.String(),
  /** Empty if the worker was in the registry of no owner since it was lost. */
  address: Type.String(),
  failureDomain: Type.String(),
  capacity: Demand,
  labels: Type.Array(Type.String())
})
type LostWorkerRow = Static<typeof LostWorkerRow>

/** A lost worker as an earlier owner has recorded it. */
export interface LostWorker {
  entry: WorkerEntry
  /** Monotonic time by which all leases on the worker are over, in ms. */
  leaseEndsBy: number
}

/**
 * Records in the store which workers with tasks don't answer, until when their leases last, and where they can be
 * reached. Each later owner continues with this limit; without it, each would have to wait for the longest lease that
 * the owners before it may have granted. No lease is renewed on a worker while there is a record of it.
 */
export class LostWorkerRecords {
  readonly #cell: Cell
  readonly #clock: StoreClock
  /** Ids of the workers of which the store has, or may have, a record. */
  readonly #recorded = new Set<string>()

  /** Ids of the workers whose records are malformed or by an owner before one that did not know of records. */
  readonly #untrusted = new Set<string>()

  constructor (cell: Cell, clock: StoreClock) {
    this.#cell = cell
    this.#clock = clock
  }

  /** Whether the store has, or may have, any records. */
  get hasRecords (): boolean {
    return this.#recorded.size > 0
  }

  /**
   * Reads the records of earlier owners from the rows of `CONTROL_TABLE`.
   *
   * @param isTrusted - Whether the previous owner has kept to the records. Otherwise they are only removed.
   * @param earlierLeasesEnd - Monotonic time by which all leases of earlier owners are over, in ms.
   */
  restore (rows: readonly StoredRow[], isTrusted: boolean, earlierLeasesEnd: number): LostWorker[] {
    return rows.flatMap(({ key, value }) => {
      if (!key.startsWith(KEY_PREFIX)) return []
      const id = key.slice(KEY_PREFIX.length)
      const row = decodeRow(LostWorkerRow, value)
      this.#recorded.add(id)
      if (!isTrusted) this.#untrusted.add(id)
      if (row === undefined) {
        this.#cell.log.warn({ worker: id }, 'record of a lost worker is malformed')
        this.#untrusted.add(id)
        return []
      }
      const recordedEnd = isTrusted ? this.#clock.toMonotonic(row.leasesEndAt) ?? Infinity : Infinity
      return [{ entry: toEntry(id, row), leaseEndsBy: Math.min(recordedEnd, earlierLeasesEnd) }]
    })
  }

  /** Whether the store has, or may have, a record of a worker. */
  has (id: string): boolean {
    return this.#recorded.has(id)
  }

  /** Whether the store has records that a later owner must not rely on. */
  get hasUntrusted (): boolean {
    return this.#untrusted.size > 0
  }

  /** Returns the records to write with the next commit. From now on no leases are renewed on these workers. */
  takeWrites (): Commit['puts'] {
    const now = this.#cell.now()
    const writes: Commit['puts'] = []
    for (const worker of this.#cell.workers.values()) {
      if (writes.length >= MAX_WRITES_PER_COMMIT) break
      if (this.#recorded.has(worker.id) || !isLost(worker, now)) continue
      const leasesEndAt = this.#clock.toStore(worker.leaseEndsBy)
      if (leasesEndAt === undefined) break
      worker.isRecordedAsLost = true
      this.#recorded.add(worker.id)
      const value = Buffer.from(JSON.stringify(toRow(worker.entry, leasesEndAt)))
      writes.push({ ...toRowAddress(worker.id), value })
    }
    return writes
  }

  /**
   * Returns the ids of workers whose records are to be removed with the next commit: of those that answer again and,
   * once it is stored that their tasks wait for other workers, of those without tasks.
   *
   * @param limit - Most ids to return.
   */
  takeRemovals (areJobsStored: boolean, limit: number): string[] {
    const removable = [...this.#recorded].filter((id) => {
      const worker = this.#cell.workers.get(id)
      return this.#untrusted.has(id) || worker?.reachable === true ||
        (areJobsStored && (worker === undefined || worker.tasks.size === 0))
    })
    return removable.slice(0, limit)
  }

  /** Allows leases on workers again whose records were removed. */
  handleRemoved (ids: readonly string[]): void {
    for (const id of ids) {
      this.#recorded.delete(id)
      this.#untrusted.delete(id)
      const worker = this.#cell.workers.get(id)
      if (worker === undefined) continue
      worker.isRecordedAsLost = false
      this.#cell.notifyChange()
    }
  }
}

/** Returns the address of a worker's record. */
export function toRowAddress (id: string): RowAddress {
  return { table: CONTROL_TABLE, key: `${KEY_PREFIX}${id}` }
}

function isLost ({ tasks, unreachableSince, leaseEndsBy, hasAnswered }: WorkerState, now: number): boolean {
  if (tasks.size === 0 || unreachableSince === undefined || leaseEndsBy <= now) return false
  return now - unreachableSince >= (hasAnswered ? RECORD_AFTER_MS : RECORD_INHERITED_AFTER_MS)
}

function toRow (entry: WorkerEntry, leasesEndAt: number): LostWorkerRow {
  const { pool, address, failureDomain, capacity, labels } = entry
  return { leasesEndAt, pool, address, failureDomain, capacity, labels: [...labels] }
}

function toEntry (id: string, { leasesEndAt: _, ...known }: LostWorkerRow): WorkerEntry {
  // Until the registry lists the worker, it gets no tasks.
  return { id, ...known, draining: true, leavesInMs: undefined }
}
