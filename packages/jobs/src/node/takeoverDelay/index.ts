import { hashText } from '../../hashText/index.ts'

/** Largest wait before a takeover, in ms, so that rarely two nodes try at once. */
const MAX_TAKEOVER_JITTER_MS = 120

/** Processors and link, in Mbit/s, that suffice for the owner of a cell of some hundred workers. */
const SUFFICIENT_PROCESSORS = 0.6
const SUFFICIENT_LINK_MBPS = 50

/** Longest wait of a weak node before a takeover, in ms; stronger ones have taken over by then, if there are any. */
const MAX_WEAKNESS_DELAY_MS = 500

interface Machine {
  processors: number
  linkMbps: number
}

/**
 * Tells how far a machine falls short of what the owner of a cell needs.
 *
 * @param machine - Processors (a fraction on small machines) and speed of the link, in Mbit/s.
 * @returns From 0, strong enough, to 1.
 *
 * @example
 * computeWeakness({ processors: 0.3, linkMbps: 1000 }) // 0.5
 */
export function computeWeakness ({ processors, linkMbps }: Machine): number {
  return 1 - Math.min(1, processors / SUFFICIENT_PROCESSORS, linkMbps / SUFFICIENT_LINK_MBPS)
}

/**
 * Chooses how long a node waits before it takes a cell over, so that a strong one does, and rarely two at once.
 *
 * @param node - Name of the node and its machine.
 * @param version - Version of the owner's record; spreads the nodes differently at each takeover.
 * @returns The wait, in ms.
 */
export function chooseTakeoverDelay (node: Machine & { node: string }, version: number): number {
  const jitter = (hashText(`${node.node} ${version}`) % JITTER_STEPS) / JITTER_STEPS
  return jitter * MAX_TAKEOVER_JITTER_MS + computeWeakness(node) * MAX_WEAKNESS_DELAY_MS
}

/** Steps into which the spread is divided; a prime, so that alike names don't share one. */
const JITTER_STEPS = 997
