import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Reproducible pseudorandom choices. */
export class SeededRandom {
  readonly #generator

  constructor (seed: number) {
    this.#generator = xoroshiro128plus(seed)
  }

  /** Returns an integer in [0, limit). */
  below (limit: number): number {
    return (this.#generator.next() >>> 0) % limit
  }

  /** Returns an integer in [low, high). */
  between (low: number, high: number): number {
    return low + this.below(high - low)
  }

  pick<Value> (values: readonly Value[]): Value {
    return values[this.below(values.length)]!
  }

  /** Returns true with the given probability. */
  chance (probability: number): boolean {
    return this.below(1000) < probability * 1000
  }
}
