/** Size of the bucket, as the time in which it refills. */
const BURST_SECONDS = 0.25

/** Rate limiter that allows short bursts. */
export class TokenBucket {
  #perSecond: number
  #tokens: number
  #refilledAt = performance.now()

  /** @param perSecond - Maximum rate in calls per second; Infinity for no limit. */
  constructor (perSecond: number) {
    this.#perSecond = perSecond
    this.#tokens = this.#capacity
  }

  get perSecond (): number {
    return this.#perSecond
  }

  set perSecond (perSecond: number) {
    this.#perSecond = perSecond
    this.#tokens = this.#capacity
  }

  /** Takes a token for one call. Returns 0 on success, else the time until the next token is available, in ms. */
  take (): number {
    if (this.#perSecond === Infinity) return 0
    const now = performance.now()
    this.#tokens = Math.min(this.#capacity, this.#tokens + (now - this.#refilledAt) / 1000 * this.#perSecond)
    this.#refilledAt = now
    if (this.#tokens < 1) return Math.ceil((1 - this.#tokens) / this.#perSecond * 1000)
    this.#tokens--
    return 0
  }

  get #capacity (): number {
    return Math.max(1, this.#perSecond * BURST_SECONDS)
  }
}
