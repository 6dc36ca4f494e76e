import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

/** Picks up to `count` distinct items at random. Advances the generator. */
export function pickRandom<Item> (items: readonly Item[], count: number, generator: RandomGenerator): Item[] {
  const pool = [...items]
  const picked: Item[] = []
  while (picked.length < count && pool.length > 0) {
    const [item] = pool.splice(uniformInt(generator, 0, pool.length - 1), 1)
    picked.push(item as Item)
  }
  return picked
}
