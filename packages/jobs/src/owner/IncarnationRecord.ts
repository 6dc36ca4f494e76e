import { Type } from '@sinclair/typebox'
import type { Commit, StoredRow } from '../ports.ts'
import type { Cell } from './Cell.ts'
import { ControlRow } from './ControlRow.ts'

/** Ids of workers with the start of their last known incarnation, by their own clocks, in Unix ms. */
const IncarnationsRow = Type.Array(Type.Tuple([Type.String(), Type.Number()]))

/** Most workers in the record, so that it stays below the 64 kB of a row; an entry with a short id has 30 bytes. */
const MAX_WORKERS = 1_500

/**
 * Records in the store which incarnations of the workers the owner knows. When a worker starts again under its id
 * around a takeover, the next owner could not tell otherwise that its tasks were lost in a crash.
 */
export class IncarnationRecord {
  readonly #cell: Cell
  readonly #row: ControlRow<typeof IncarnationsRow>
  /** Start of the last known incarnation of each worker, as stored. */
  #stored: ReadonlyMap<string, number> = new Map()

  constructor (cell: Cell) {
    this.#cell = cell
    this.#row = new ControlRow('incarnations', IncarnationsRow, 'incarnations of workers', cell.log)
  }

  /** Reads the record of earlier owners from the rows of `CONTROL_TABLE`. */
  restore (rows: readonly StoredRow[]): void {
    this.#stored = new Map(this.#row.read(rows) ?? [])
  }

  /** Start of the last incarnation of a worker that an earlier owner has known. */
  startOf (id: string): number | undefined {
    return this.#stored.get(id)
  }

  /** Returns the row to write with the next commit, if a worker has told another start. */
  takeWrites (): Commit['puts'] {
    if (!this.#hasChanged()) return []
    const starts = [...this.#cell.workers.values()]
      .flatMap(({ id, startedAt }): Array<[string, number]> => startedAt === undefined ? [] : [[id, startedAt]])
      .slice(0, MAX_WORKERS)
    this.#stored = new Map(starts)
    return this.#row.toWrites(starts)
  }

  #hasChanged (): boolean {
    const isFull = this.#stored.size >= MAX_WORKERS
    for (const { id, startedAt } of this.#cell.workers.values()) {
      if (startedAt === undefined || (isFull && !this.#stored.has(id))) continue
      if (this.#stored.get(id) !== startedAt) return true
    }
    return false
  }
}
