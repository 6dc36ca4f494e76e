import { hashText } from '../../hashText/index.ts'

/** Longest jitter before a takeover, in ms; makes it unlikely that two nodes claim the cell at once. */
const MAX_TAKEOVER_JITTER_MS = 120

/** Processors and link bandwidth, in Mbit/s, that suffice to own a cell of several hundred workers. */
const SUFFICIENT_PROCESSORS = 0.6
const SUFFICIENT_LINK_MBPS = 50

/** Delay of the weakest node before a takeover, in ms; long enough for stronger nodes to take over first. */
const MAX_WEAKNESS_DELAY_MS = 500

interface Machine {
  processors: number
  linkMbps: number
}

/**
 * Computes how far a machine falls short of what the owner of a cell needs.
 *
 * @param machine - Processors, possibly a fraction, and link bandwidth, in Mbit/s.
 * @returns A number from 0 (sufficient) to 1.
 *
 * @example
 * computeWeakness({ processors: 0.3, linkMbps: 1000 }) // 0.5
 */
export function computeWeakness ({ processors, linkMbps }: Machine): number {
  return 1 - Math.min(1, processors / SUFFICIENT_PROCESSORS, linkMbps / SUFFICIENT_LINK_MBPS)
}

/**
 * Chooses how long a node waits before it takes a cell over. Strong nodes wait less than weak ones, and a jitter makes
 * it unlikely that two nodes try at once.
 *
 * @param node - Name of the node and its machine.
 * @param version - Version of the owner's record; gives each takeover a different jitter.
 * @returns The wait, in ms.
 */
export function chooseTakeoverDelay (node: Machine & { node: string }, version: number): number {
  const jitter = (hashText(`${node.node} ${version}`) % JITTER_STEPS) / JITTER_STEPS
  return jitter * MAX_TAKEOVER_JITTER_MS + computeWeakness(node) * MAX_WEAKNESS_DELAY_MS
}

/** Number of different jitter values; a prime, so that similar node names get different ones. */
const JITTER_STEPS = 997
