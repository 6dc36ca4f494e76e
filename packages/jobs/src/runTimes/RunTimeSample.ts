import { quantile } from './quantile/index.ts'

/** Quantiles in a summary, and values that are made of them: enough to predict from. */
const SUMMARY_POINTS = 9
const RESTORED_VALUES = 24

/** The latest values of a series. Older ones are dropped, so that a change shows after half as many new ones. */
export class RunTimeSample {
  /** A ring; typed, since there may be thousands of samples. */
  readonly #values: Float32Array
  #size = 0
  #next = 0
  /** The last quantile that was asked for since a value was added; the share is -1 without one. */
  #knownShare = -1
  #knownQuantile = 0

  constructor (capacity: number) {
    this.#values = new Float32Array(capacity)
  }

  get size (): number {
    return this.#size
  }

  add (value: number): void {
    this.#values[this.#next] = value
    this.#next = (this.#next + 1) % this.#values.length
    this.#size = Math.min(this.#size + 1, this.#values.length)
    this.#knownShare = -1
  }

  /** Returns some quantiles at equal distances, rounded to 5%, from which `restore` makes a similar sample. */
  summarize (): number[] {
    const sorted = this.#sort()
    return Array.from({ length: SUMMARY_POINTS }, (_, index) =>
      Math.round(quantile(sorted, index / (SUMMARY_POINTS - 1)) * 20) / 20)
  }

  /** Adds values that are distributed as those of a summary. */
  restore (summary: readonly number[]): void {
    if (summary.length === 0) return
    for (let index = 0; index < RESTORED_VALUES; index++) this.add(quantile(summary, index / (RESTORED_VALUES - 1)))
  }

  /** Returns a quantile of the values, of which there must be one. */
  quantile (share: number): number {
    if (share !== this.#knownShare) {
      // Of n values, the highest is exceeded by one of n + 1 new ones on average.
      const corrected = (share * (this.#size + 1) - 1) / Math.max(1, this.#size - 1)
      this.#knownQuantile = quantile(this.#sort(), Math.max(0, Math.min(1, corrected)))
      this.#knownShare = share
    }
    return this.#knownQuantile
  }

  #sort (): Float32Array {
    return this.#values.slice(0, this.#size).sort()
  }
}
