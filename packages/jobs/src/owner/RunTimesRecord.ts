import type { Commit, StoredRow } from '../ports.ts'
import { RunTimesState } from '../runTimes/RunTimesState.ts'
import type { Cell } from './Cell.ts'
import { ControlRow } from './ControlRow.ts'

/** Interval between writes, in ms: a takeover may lose what was learned in it. */
const WRITE_INTERVAL_MS = 10_000

/** Largest row that is written, in bytes; the store accepts 64 kB. */
const MAX_BYTES = 60_000

/** Records in the store what is learned of run times and speeds, so that a new owner need not learn it anew. */
export class RunTimesRecord {
  readonly #cell: Cell
  readonly #row: ControlRow<typeof RunTimesState>
  #checkedAt: number
  #stored = ''

  constructor (cell: Cell) {
    this.#cell = cell
    this.#checkedAt = cell.now()
    this.#row = new ControlRow('run-times', RunTimesState, 'run times', cell.log)
  }

  /** Restores what earlier owners have learned from the rows of `CONTROL_TABLE`. */
  restore (rows: readonly StoredRow[]): void {
    const state = this.#row.read(rows)
    if (state === undefined) return
    this.#stored = JSON.stringify(state)
    this.#cell.runTimes.restore(state, this.#cell.now())
  }

  /** Returns the row to write with the next commit, if what is learned has changed noticeably. */
  takeWrites (): Commit['puts'] {
    const now = this.#cell.now()
    if (now - this.#checkedAt < WRITE_INTERVAL_MS) return []
    this.#checkedAt = now
    const state = this.#cell.runTimes.snapshot()
    if (state === undefined || (this.#stored === '' && state.workers.length + state.queues.length === 0)) return []
    const text = JSON.stringify(state)
    if (text === this.#stored) return []
    this.#stored = text
    if (Buffer.byteLength(text) <= MAX_BYTES) return this.#row.toWrites(state)
    return this.#row.toWrites({ ...state, groups: [] }).filter(({ value }) => value.length <= MAX_BYTES)
  }
}
