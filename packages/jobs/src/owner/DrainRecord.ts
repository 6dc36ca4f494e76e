import { Type } from '@sinclair/typebox'
import type { Commit, StoredRow } from '../ports.ts'
import type { StoreClock } from '../storeClock/StoreClock.ts'
import type { Cell } from './Cell.ts'
import { ControlRow } from './ControlRow.ts'

/** Ids of the draining workers, with the time on the store's clock at which they leave, in ms. */
const DrainingRow = Type.Array(Type.Tuple([Type.String(), Type.Number()]))

/**
 * Records in the store when draining workers leave. Their registry entries tell how long they stay, but not since when,
 * so that a later owner could only count that time from its own takeover.
 */
export class DrainRecord {
  readonly #cell: Cell
  readonly #clock: StoreClock
  readonly #row: ControlRow<typeof DrainingRow>
  /** Time on the store's clock at which each draining worker leaves, in ms. */
  readonly #leavesAt = new Map<string, number>()
  #isChanged = false

  constructor (cell: Cell, clock: StoreClock) {
    this.#cell = cell
    this.#clock = clock
    this.#row = new ControlRow('draining', DrainingRow, 'draining workers', cell.log)
  }

  /** Reads the record of earlier owners from the rows of `CONTROL_TABLE`. */
  restore (rows: readonly StoredRow[]): void {
    for (const [id, leavesAt] of this.#row.read(rows) ?? []) this.#leavesAt.set(id, leavesAt)
  }

  /**
   * Records when a draining worker leaves, unless an earlier owner has recorded an earlier time.
   *
   * @param leavesAt - Monotonic time, in ms.
   * @returns The earlier of both times.
   */
  add (id: string, leavesAt: number): number {
    const recorded = this.#leavesAt.get(id)
    const recordedLeavesAt = recorded === undefined ? undefined : this.#clock.toMonotonic(recorded)
    if (recordedLeavesAt !== undefined && recordedLeavesAt <= leavesAt) return recordedLeavesAt
    const stored = this.#clock.toStore(leavesAt)
    if (stored !== undefined) {
      this.#leavesAt.set(id, stored)
      this.#isChanged = true
    }
    return leavesAt
  }

  /** Whether a worker drains, or has left after draining. */
  has (id: string): boolean {
    return this.#leavesAt.has(id)
  }

  /** Removes the record of a worker that has left or doesn't drain any more. */
  remove (id: string): void {
    if (this.#leavesAt.delete(id)) this.#isChanged = true
  }

  /** Returns the row to write with the next commit, if it has changed. */
  takeWrites (): Commit['puts'] {
    if (!this.#isChanged) return []
    this.#isChanged = false
    for (const id of this.#leavesAt.keys()) if (!this.#cell.workers.has(id)) this.#leavesAt.delete(id)
    return this.#row.toWrites([...this.#leavesAt])
  }
}
