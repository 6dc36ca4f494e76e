/** Bursts up to this share of the calls of one second pass at once. */
const BURST_SHARE = 0.25

/** A token bucket. */
export class RateLimit {
  #perSecond: number
  #tokens: number
  #filledAt = performance.now()

  /** @param perSecond - Calls per second; Infinity for no limit. */
  constructor (perSecond: number) {
    this.#perSecond = perSecond
    this.#tokens = this.#burst
  }

  get perSecond (): number {
    return this.#perSecond
  }

  set perSecond (perSecond: number) {
    this.#perSecond = perSecond
    this.#tokens = this.#burst
  }

  /** Counts one call. Returns 0 when it may pass, else the time until the next one may, in ms. */
  take (): number {
    if (this.#perSecond === Infinity) return 0
    const now = performance.now()
    this.#tokens = Math.min(this.#burst, this.#tokens + (now - this.#filledAt) / 1000 * this.#perSecond)
    this.#filledAt = now
    if (this.#tokens < 1) return Math.ceil((1 - this.#tokens) / this.#perSecond * 1000)
    this.#tokens--
    return 0
  }

  get #burst (): number {
    return Math.max(1, this.#perSecond * BURST_SHARE)
  }
}
