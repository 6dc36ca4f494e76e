import { quantile } from './quantile/index.ts'

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

  /** Returns a quantile of the values, of which there must be one. */
  quantile (share: number): number {
    this.#sorted ??= Float32Array.from(this.#values).sort()
    return quantile(this.#sorted, share)
  }
}
