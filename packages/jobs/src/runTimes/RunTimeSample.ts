import { quantile } from './quantile/index.ts'

/** Quantiles in a summary, and values that are made of them: enough to predict from. */
const SUMMARY_POINTS = 9
const RESTORED_VALUES = 24

/** The latest values of a series. Older ones are dropped, so that a change shows after half as many new ones. */
export class RunTimeSample {
  readonly #capacity: number
  readonly #values: number[] = []
  #next = 0
  /** The values in order; undefined once another one was added. */
  #sorted: Float32Array | undefined

  constructor (capacity: number) {
    this.#capacity = capacity
  }

  get size (): number {
    return this.#values.length
  }

  add (value: number): void {
    this.#values[this.#next] = value
    this.#next = (this.#next + 1) % this.#capacity
    this.#sorted = undefined
  }

  /** Returns some quantiles at equal distances, rounded to 5%, from which `restore` makes a similar sample. */
  summarize (): number[] {
    return Array.from({ length: SUMMARY_POINTS }, (_, index) =>
      Math.round(this.quantile(index / (SUMMARY_POINTS - 1)) * 20) / 20)
  }

  /** Adds values that are distributed as those of a summary. */
  restore (summary: readonly number[]): void {
    if (summary.length === 0) return
    for (let index = 0; index < RESTORED_VALUES; index++) this.add(quantile(summary, index / (RESTORED_VALUES - 1)))
  }

  /** Returns a quantile of the values, of which there must be one. */
  quantile (share: number): number {
    this.#sorted ??= Float32Array.from(this.#values).sort()
    return quantile(this.#sorted, share)
  }
}
