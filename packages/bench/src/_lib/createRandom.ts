import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

export interface Random {
  /** Uniform in [0, 1). */
  uniform (): number
  exponential (mean: number): number
  integer (below: number): number
  /** Index drawn in proportion to the weights. */
  weighted (weights: number[]): number
}

/**
 * Random draws from a fixed seed.
 *
 * @param seed - Any integer.
 * @returns Draws; the same seed gives the same sequence.
 *
 * @example
 * createRandom(1).exponential(100)
 */
export function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  const uniform = () => uniformFloat64(generator)
  return {
    uniform,
    exponential: (mean) => -Math.log(1 - uniform()) * mean,
    integer: (below) => Math.floor(uniform() * below),
    weighted: (weights) => {
      let left = uniform() * weights.reduce((sum, weight) => sum + weight, 0)
      const index = weights.findIndex((weight) => (left -= weight) < 0)
      return index < 0 ? weights.length - 1 : index
    }
  }
}
