/**
 * Longest time that a runner may work on a request of an entry that has failed. Also the assumed maximum age of a
 * message in the network: a report of a dead process that arrived later could be mistaken for a restart of the entry.
 */
export const LONGEST_DEADLINE_MS = 30_000
/** Minimum time between notifications to an entry, and between its last report and a notification. */
export const NOTIFICATION_INTERVAL_MS = 50
/** A surplus above this share of an entry's tokens is recalled even while requests wait at that entry. */
export const MAX_SURPLUS_SHARE = 0.15
/** Time constant of the load average. If tokens followed each fluctuation, too many would be idle in transit. */
export const LOAD_AVERAGE_MS = 250
/** After this time without a token, an entry with waiting requests takes precedence over any remainder of a share. */
export const STARVATION_TIMEOUT_MS = 200
