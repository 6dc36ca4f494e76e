import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Random draws from one generator. */
export interface Random {
  /** Uniform in [0, 1). */
  uniform (): number
  exponential (mean: number): number
  /** Uniform integer in [0, upperBound). */
  integer (upperBound: number): number
  /** Index of one of the weights, with a probability in proportion to its weight. */
  weighted (weights: number[]): number
}

/**
 * Creates a pseudorandom generator with the distributions that the simulations need.
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
    integer: (upperBound) => Math.floor(uniform() * upperBound),
    weighted: (weights) => {
      let remaining = uniform() * weights.reduce((sum, weight) => sum + weight, 0)
      // Rounding can leave a remainder after the last weight.
      const index = weights.findIndex((weight) => (remaining -= weight) < 0)
      return index < 0 ? weights.length - 1 : index
    }
  }
}
