export type LeaseRight = 'decide' | 'sustain' | 'none'

export interface LeaseTerms {
  /** D in ms. */
  shardLeaseMs: number
  /** H in ms. */
  runHorizonMs: number
}

/**
 * Tells what the owner of a shard may still do.
 *
 * @param renewedAt - Moment before the last successful renewal was sent, in ms on the owner's monotonic clock.
 * @param now - Current time in ms on the same clock.
 * @param terms - Lease lengths in ms.
 * @returns `decide` within D of the renewal, `sustain` (renew task leases only) within H, then `none`.
 *
 * @example
 * judgeLease(0, 9_999, { shardLeaseMs: 10_000, runHorizonMs: 1_800_000 }) // => 'decide'
 */
export function judgeLease (renewedAt: number, now: number, terms: LeaseTerms): LeaseRight {
  const age = now - renewedAt
  if (age < terms.shardLeaseMs) return 'decide'
  return age < terms.runHorizonMs ? 'sustain' : 'none'
}
