import { createHash } from 'node:crypto'

/**
 * Chooses one of several candidates for a key by rendezvous hashing. Adding a candidate moves only keys to it, and
 * removing one moves only its own keys.
 *
 * @param key - Id to assign, such as a group id.
 * @param candidates - Ids to choose from, in any order.
 * @returns The candidate with the highest weight; undefined when there is none.
 *
 * @example
 * chooseByRendezvousHash('scope/index', ['hall-a', 'hall-b'])
 */
export function chooseByRendezvousHash (key: string, candidates: string[]): string | undefined {
  let best: { id: string, weight: string } | undefined
  for (const id of candidates) {
    const weight = createHash('sha1').update(`${key}\n${id}`).digest('hex')
    if (best === undefined || weight > best.weight) best = { id, weight }
  }
  return best?.id
}
