import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Choices that a seed repeats. */
export class Randomness {
  readonly #generator

  constructor (seed: number) {
    this.#generator = xoroshiro128plus(seed)
  }

  /** A whole number from 0 up to, without, `limit`. */
  below (limit: number): number {
    return (this.#generator.next() >>> 0) % limit
  }

  /** A whole number from `low` up to, without, `high`. */
  between (low: number, high: number): number {
    return low + this.below(high - low)
  }

  pick<Value> (values: readonly Value[]): Value {
    return values[this.below(values.length)]!
  }

  chance (share: number): boolean {
    return this.below(1000) < share * 1000
  }
}
