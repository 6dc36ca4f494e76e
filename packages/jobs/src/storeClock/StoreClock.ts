import { measureLongestElapsed, type Instant } from '../instant/index.ts'

interface Reading {
  /** The store's clock in the answer, in ms. */
  storeMs: number
  sentAt: Instant
  /** Monotonic time at which the answer arrived, in ms. */
  receivedAt: number
}

/**
 * Converts times between this process and the store's steady clock, by which one owner of a cell can tell the next one
 * when something ends. Both conversions err on the late side: the store's clock was read at an unknown time between a
 * call and its answer.
 */
export class StoreClock {
  #reading: Reading | undefined

  /** Records the answer to a call. */
  record (storeMs: number | undefined, sentAt: Instant): void {
    if (storeMs !== undefined) this.#reading = { storeMs, sentAt, receivedAt: performance.now() }
  }

  /** Time since the last reading, in ms; infinite before the first one. */
  get ageMs (): number {
    return performance.now() - (this.#reading?.receivedAt ?? -Infinity)
  }

  /** Returns the latest time that the store's clock may show at a monotonic time; undefined without a reading. */
  toStore (at: number): number | undefined {
    if (this.#reading === undefined) return undefined
    const { storeMs, sentAt } = this.#reading
    return Math.ceil(storeMs + measureLongestElapsed(sentAt) + (at - performance.now()))
  }

  /** Returns the monotonic time by which the store's clock has reached a time; undefined before the first reading. */
  toMonotonic (storeMs: number): number | undefined {
    return this.#reading === undefined ? undefined : this.#reading.receivedAt + (storeMs - this.#reading.storeMs)
  }
}
