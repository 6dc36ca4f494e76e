import { Type, type Static } from '@sinclair/typebox'
import type { Commit, StoredRow } from '../ports.ts'
import type { StoreClock } from '../storeClock/StoreClock.ts'
import type { Cell } from './Cell.ts'
import { ControlRow } from './ControlRow.ts'
import type { WorkerCircuitBreaker } from './WorkerCircuitBreaker.ts'

/**
 * For each worker whose breaker has opened and not closed again: its id, the time on the store's clock until which it
 * gets no tasks, and the cooldown for the next time, both in ms.
 */
const BreakersRow = Type.Array(Type.Tuple([Type.String(), Type.Number(), Type.Number({ exclusiveMinimum: 0 })]))

/** Records the tripped circuit breakers in the store, so that a new owner gives their workers no more than probes. */
export class BreakerRecord {
  readonly #cell: Cell
  readonly #clock: StoreClock
  readonly #breaker: WorkerCircuitBreaker
  readonly #row: ControlRow<typeof BreakersRow>

  constructor (cell: Cell, clock: StoreClock, breaker: WorkerCircuitBreaker) {
    this.#cell = cell
    this.#clock = clock
    this.#breaker = breaker
    this.#row = new ControlRow('breakers', BreakersRow, 'circuit breakers', cell.log)
  }

  /** Restores the breakers of the known workers from the rows of `CONTROL_TABLE`. */
  restore (rows: readonly StoredRow[]): void {
    for (const [id, openUntilAt, cooldownMs] of this.#row.read(rows) ?? []) {
      const openUntil = this.#clock.toMonotonic(openUntilAt)
      if (openUntil !== undefined && this.#cell.workers.has(id)) this.#breaker.restore(id, openUntil, cooldownMs)
    }
  }

  /** Returns the row to write with the next commit, if a breaker has opened or closed. */
  takeWrites (): Commit['puts'] {
    if (!this.#breaker.takeChange()) return []
    return this.#row.toWrites(this.#breaker.listTripped()
      .flatMap(({ worker, openUntil, cooldownMs }): Static<typeof BreakersRow> => {
        const openUntilAt = this.#clock.toStore(openUntil)
        return openUntilAt === undefined ? [] : [[worker, openUntilAt, cooldownMs]]
      }))
  }
}
