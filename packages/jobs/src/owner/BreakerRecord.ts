import { parseJson } from '@gypsumspring/protocol'
import { Type } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'
import { CONTROL_TABLE } from '../ownership/index.ts'
import type { Commit, StoredRow } from '../ports.ts'
import type { StoreClock } from '../storeClock/StoreClock.ts'
import type { Cell } from './Cell.ts'
import type { WorkerCircuitBreaker } from './WorkerCircuitBreaker.ts'

const BREAKERS_KEY = 'breakers'

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

  constructor (cell: Cell, clock: StoreClock, breaker: WorkerCircuitBreaker) {
    this.#cell = cell
    this.#clock = clock
    this.#breaker = breaker
  }

  /** Restores the breakers of the known workers from the rows of `CONTROL_TABLE`. */
  restore (rows: readonly StoredRow[]): void {
    const value = rows.find(({ key }) => key === BREAKERS_KEY)?.value
    if (value === undefined) return
    const row = parseJson(value)
    if (!Value.Check(BreakersRow, row)) {
      this.#cell.log.warn({}, 'record of circuit breakers is malformed')
      return
    }
    for (const [id, openUntilAt, cooldownMs] of row) {
      const openUntil = this.#clock.toMonotonic(openUntilAt)
      if (openUntil !== undefined && this.#cell.workers.has(id)) this.#breaker.restore(id, openUntil, cooldownMs)
    }
  }

  /** Returns the row to write with the next commit, if a breaker has opened or closed. */
  takeWrites (): Commit['puts'] {
    if (!this.#breaker.takeChange()) return []
    const entries = this.#breaker.listTripped().flatMap(({ worker, openUntil, cooldownMs }) => {
      const openUntilAt = this.#clock.toStore(openUntil)
      return openUntilAt === undefined ? [] : [[worker, openUntilAt, cooldownMs]]
    })
    const value = Buffer.from(JSON.stringify(entries))
    return [{ table: CONTROL_TABLE, key: BREAKERS_KEY, value }]
  }
}
