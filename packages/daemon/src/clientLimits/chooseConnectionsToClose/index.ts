import type { ConnectionLoad } from '../types.ts'

/** Largest body that counts as a small job, in bytes. Jobs of the known callers have up to 20 KB. */
export const SMALL_BODY_BYTES = 32 * 1024

/** Time without progress after which a small body is no longer spared, in ms: a few round trips on a slow link. */
const SMALL_BODY_PATIENCE_MS = 1_000

/** Bytes for which an idle connection counts, so that of those that hold nothing the slowest is closed first. */
const IDLE_BYTES = 1_024

/** Time added to that without progress, in ms, so that of connections with recent progress the largest is chosen. */
const RECENT_MS = 100

/**
 * Chooses the connections to close when the process has too little room for its clients: first those that hold most for
 * the longest time without progress. Requests that were passed on are never chosen, nor small bodies that progress.
 *
 * @param connections - All connections.
 * @param now - Present time, in ms.
 * @param isEnough - Told each chosen connection in turn; returns whether no more need to be closed.
 * @returns The connections to close.
 *
 * @example
 * chooseConnectionsToClose([silent, uploading], performance.now(), () => true) // [silent]
 */
export function chooseConnectionsToClose<Connection extends ConnectionLoad> (
  connections: Iterable<Connection>, now: number, isEnough: (connection: Connection) => boolean
): Connection[] {
  const candidates: Array<{ connection: Connection, cost: number }> = []
  for (const connection of connections) {
    if (!mayBeClosed(connection, now)) continue
    const stalledMs = now - connection.progressAt
    candidates.push({ connection, cost: (connection.heldBytes + IDLE_BYTES) * (stalledMs + RECENT_MS) })
  }
  candidates.sort((a, b) => b.cost - a.cost)
  const chosen: Connection[] = []
  for (const { connection } of candidates) {
    chosen.push(connection)
    if (isEnough(connection)) break
  }
  return chosen
}

/** Whether a connection may be closed for others: no request that was passed on, and no small body that progresses. */
export function mayBeClosed ({ phase, expectedBytes, progressAt }: ConnectionLoad, now: number): boolean {
  const isSmall = phase === 'receiving' && expectedBytes <= SMALL_BODY_BYTES
  return phase !== 'handled' && !(isSmall && now - progressAt < SMALL_BODY_PATIENCE_MS)
}
