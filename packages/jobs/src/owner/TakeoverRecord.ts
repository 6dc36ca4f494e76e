import { Type, type Static } from '@sinclair/typebox'
import type { Commit, StoredRow } from '../ports.ts'
import type { StoreClock } from '../storeClock/StoreClock.ts'
import type { Cell } from './Cell.ts'
import { ControlRow } from './ControlRow.ts'

/** Most takeovers that are kept. With more of them, every second one is dropped. */
const MAX_TAKEOVERS = 32

/**
 * Takeovers in their order: the version of the store that the new owner read, and the time on the store's clock by
 * which the leases of earlier owners were over, in ms.
 */
const TakeoversRow = Type.Array(Type.Tuple([Type.Integer(), Type.Number()]))

/**
 * Records takeovers in the store, from which later owners know how long inherited runs have been running at least. No
 * run starts without a lease: a run that was stored before a takeover has started by the time that the leases of
 * earlier owners end, or never will.
 */
export class TakeoverRecord {
  readonly #clock: StoreClock
  readonly #row: ControlRow<typeof TakeoversRow>
  #takeovers: Static<typeof TakeoversRow> = []
  #isChanged = false

  constructor (cell: Cell, clock: StoreClock) {
    this.#clock = clock
    this.#row = new ControlRow('takeovers', TakeoversRow, 'takeovers', cell.log)
  }

  /** Reads the takeovers of earlier owners from the rows of `CONTROL_TABLE`. */
  restore (rows: readonly StoredRow[]): void {
    this.#takeovers = this.#row.read(rows) ?? []
  }

  /**
   * Records the takeover by this owner.
   *
   * @param version - Version of the store as of which this owner read the progress of the jobs.
   * @param earlierLeasesEnd - Monotonic time by which all leases of earlier owners are over, in ms.
   */
  add (version: number, earlierLeasesEnd: number): void {
    const endAt = this.#clock.toStore(earlierLeasesEnd)
    if (endAt === undefined) return
    this.#takeovers.push([version, endAt])
    while (this.#takeovers.length > MAX_TAKEOVERS) {
      this.#takeovers = this.#takeovers.filter((_, index) => index % 2 === 0)
    }
    this.#isChanged = true
  }

  /**
   * Returns the monotonic time by which the runs in a row have started, in ms; undefined if that is not known.
   *
   * @param version - Version of the row.
   */
  startedBy (version: number): number | undefined {
    const takeover = this.#takeovers.find(([read]) => version <= read)
    return takeover === undefined ? undefined : this.#clock.toMonotonic(takeover[1])
  }

  /** Returns the row to write with the next commit, if it has changed. */
  takeWrites (): Commit['puts'] {
    if (!this.#isChanged) return []
    this.#isChanged = false
    return this.#row.toWrites(this.#takeovers)
  }
}
