interface Reading {
  /** The store's clock in the answer, in ms. */
  storeMs: number
  /** Monotonic time at which the call was sent, in ms. */
  sentAt: number
  /** Unix time at which the call was sent, in ms. */
  sentAtUnixMs: number
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

  /** Records the answer to a call. `sentAt` is the monotonic time of the call, in ms. */
  record (storeMs: number | undefined, sentAt: number): void {
    if (storeMs === undefined) return
    const receivedAt = performance.now()
    this.#reading = { storeMs, sentAt, sentAtUnixMs: Date.now() - (receivedAt - sentAt), receivedAt }
  }

  /**
   * Returns the latest time that the store's clock may show at a monotonic time; undefined before the first reading.
   * The monotonic clock stands still while the machine is suspended, the wall clock does not.
   */
  toStore (at: number): number | undefined {
    if (this.#reading === undefined) return undefined
    const { storeMs, sentAt, sentAtUnixMs } = this.#reading
    const now = performance.now()
    const elapsedMs = Math.max(now - sentAt, Date.now() - sentAtUnixMs)
    return Math.ceil(storeMs + elapsedMs + (at - now))
  }

  /** Returns the monotonic time by which the store's clock has reached a time; undefined before the first reading. */
  toMonotonic (storeMs: number): number | undefined {
    return this.#reading === undefined ? undefined : this.#reading.receivedAt + (storeMs - this.#reading.storeMs)
  }
}
