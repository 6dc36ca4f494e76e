import { parseJson } from '@gypsumspring/protocol'
import { Type, type Static } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'
import { CONTROL_TABLE } from '../ownership/index.ts'
import type { Commit, RowAddress, StoredRow } from '../ports.ts'
import type { StoreClock } from '../storeClock/StoreClock.ts'
import { Demand, type WorkerEntry } from '../types.ts'
import type { WorkerState } from '../workers/WorkerState.ts'
import type { Cell } from './Cell.ts'

const KEY_PREFIX = 'lost-worker/'

/** Time for which a worker has not answered before it is recorded, in ms; single lost answers are not recorded. */
const RECORD_AFTER_MS = 1_000

/** Most records that one commit writes, and most that it removes, so that there is room for the jobs. */
export const MAX_LOST_WORKER_ROWS = 20

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

  constructor (cell: Cell, clock: StoreClock) {
    this.#cell = cell
    this.#clock = clock
  }

  /** Whether the store has, or may have, any records. */
  get hasRecords (): boolean {
    return this.#recorded.size > 0
  }

  /** Reads the records of earlier owners from the rows of `CONTROL_TABLE`. */
  restore (rows: readonly StoredRow[]): LostWorker[] {
    return rows.flatMap(({ key, value }) => {
      if (!key.startsWith(KEY_PREFIX)) return []
      const id = key.slice(KEY_PREFIX.length)
      this.#recorded.add(id)
      const row = value === undefined ? undefined : parseJson(value)
      const leaseEndsBy = Value.Check(LostWorkerRow, row) ? this.#clock.toMonotonic(row.leasesEndAt) : undefined
      if (leaseEndsBy === undefined) {
        this.#cell.log.warn({ worker: id }, 'record of a lost worker is malformed')
        return []
      }
      return [{ entry: toEntry(id, row as LostWorkerRow), leaseEndsBy }]
    })
  }

  /** Returns the records to write with the next commit. From now on no leases are renewed on these workers. */
  takeWrites (): Commit['puts'] {
    const now = this.#cell.now()
    const writes: Commit['puts'] = []
    for (const worker of this.#cell.workers.values()) {
      if (writes.length >= MAX_LOST_WORKER_ROWS) break
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
   */
  takeRemovals (areJobsStored: boolean): string[] {
    const removable = [...this.#recorded].filter((id) => {
      const worker = this.#cell.workers.get(id)
      return worker?.reachable === true || (areJobsStored && (worker === undefined || worker.tasks.size === 0))
    })
    return removable.slice(0, MAX_LOST_WORKER_ROWS)
  }

  /** Allows leases on workers again whose records were removed. */
  handleRemoved (ids: readonly string[]): void {
    for (const id of ids) {
      this.#recorded.delete(id)
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

function isLost ({ tasks, unreachableSince, leaseEndsBy }: WorkerState, now: number): boolean {
  return tasks.size > 0 && unreachableSince !== undefined && now - unreachableSince >= RECORD_AFTER_MS &&
    leaseEndsBy > now
}

function toRow (entry: WorkerEntry, leasesEndAt: number): LostWorkerRow {
  const { pool, address, failureDomain, capacity, labels } = entry
  return { leasesEndAt, pool, address, failureDomain, capacity, labels: [...labels] }
}

function toEntry (id: string, { leasesEndAt: _, ...known }: LostWorkerRow): WorkerEntry {
  // Until the registry lists the worker, it gets no tasks.
  return { id, ...known, draining: true, leavesInMs: undefined }
}
