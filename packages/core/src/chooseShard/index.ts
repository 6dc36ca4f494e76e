import { createHash } from 'node:crypto'

/**
 * Chooses one of several candidates for a key by rendezvous hashing: adding or removing a candidate moves only the keys
 * that it gains or loses.
 *
 * @param key - What is to be assigned, such as a group id.
 * @param candidates - Ids to choose from, in any order.
 * @returns The candidate with the highest weight; undefined when there is none.
 *
 * @example
 * chooseShard('scope/index', ['hall-a', 'hall-b'])
 */
export function chooseShard (key: string, candidates: string[]): string | undefined {
  let best: { id: string, weight: string } | undefined
  for (const id of candidates) {
    const weight = createHash('sha1').update(`${key}\n${id}`).digest('hex')
    if (best === undefined || weight > best.weight) best = { id, weight }
  }
  return best?.id
}
