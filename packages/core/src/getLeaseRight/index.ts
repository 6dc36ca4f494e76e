/**
 * What the owner of a shard may still do: `decide` allows everything, `sustain` allows only renewing the leases of
 * running tasks.
 */
export type LeaseRight = 'decide' | 'sustain' | 'none'

export interface LeaseTerms {
  /** How long the owner may decide after a renewal, in ms. */
  shardLeaseMs: number
  /** How long the owner may renew task leases after a renewal of its own lease, in ms. */
  runHorizonMs: number
}

/**
 * Returns what the owner of a shard may still do.
 *
 * @param renewedAt - Time just before the last successful renewal was sent, in ms on the owner's monotonic clock.
 * @param now - Current time in ms on the same clock.
 * @param terms - Lease durations.
 * @returns `decide` within `shardLeaseMs` of the renewal, `sustain` within `runHorizonMs`, then `none`.
 *
 * @example
 * getLeaseRight(0, 9_999, { shardLeaseMs: 10_000, runHorizonMs: 1_800_000 }) // => 'decide'
 */
export function getLeaseRight (renewedAt: number, now: number, terms: LeaseTerms): LeaseRight {
  const age = now - renewedAt
  if (age < terms.shardLeaseMs) return 'decide'
  return age < terms.runHorizonMs ? 'sustain' : 'none'
}
