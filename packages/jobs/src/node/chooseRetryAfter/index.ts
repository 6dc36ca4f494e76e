/** Share of the duration of an outage so far after which callers should come back. */
const OUTAGE_SHARE = 0.5

/** Longest delay that callers are asked for, in s. */
const MAX_RETRY_AFTER_S = 10

/**
 * Chooses when a caller whose request was refused should come back. The longer an outage has lasted, the longer it
 * usually goes on, and callers give up after a few attempts. With half of its duration they come back after at most one
 * and a half times the outage, and a few attempts last through a long one.
 *
 * @param outageMs - Time since the store last answered, in ms.
 * @returns The value for a `retry-after` header, in whole seconds.
 *
 * @example
 * chooseRetryAfter(4_200) // 3
 */
export function chooseRetryAfter (outageMs: number): number {
  return Math.min(MAX_RETRY_AFTER_S, Math.max(1, Math.ceil(OUTAGE_SHARE * outageMs / 1000)))
}
