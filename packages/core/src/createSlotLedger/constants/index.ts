/**
 * A runner may work on a request of a lost entry for this long. Also bounds the life of a message in the network: a
 * report of a dead process that arrives later than this could be taken for a restart.
 */
export const LONGEST_DEADLINE_MS = 30_000
/** Shortest time between notifications to an entry; one that reported within this time is not notified either. */
export const NOTIFY_INTERVAL_MS = 50
/** A surplus above this share of an entry's tokens is recalled even while requests wait there. */
export const SURPLUS_SHARE = 0.15
/** Time constant of the average load. Tokens that followed each fluctuation would be idle on their way too often. */
export const LOAD_WINDOW_MS = 250
/** After this long without a token an entry with waiting requests outweighs any remainder of a share. */
export const STARVATION_MS = 200
