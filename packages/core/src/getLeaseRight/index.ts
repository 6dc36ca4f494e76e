/**
 * What the owner of a lease may still do. `decide`: everything. `sustain`: the lease was not renewed in time, so the
 * owner of a shard may only renew the leases of running tasks; a slot allocator still allocates tokens, which expire at
 * the run horizon. `none`: nothing.
 */
export type LeaseRight = 'decide' | 'sustain' | 'none'

export interface LeaseDurations {
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
 * @param durations - Durations of the lease and of the run horizon.
 * @returns `decide` within `shardLeaseMs` of the renewal, `sustain` within `runHorizonMs`, then `none`.
 *
 * @example
 * getLeaseRight(0, 9_999, { shardLeaseMs: 10_000, runHorizonMs: 1_800_000 }) // => 'decide'
 */
export function getLeaseRight (renewedAt: number, now: number, durations: LeaseDurations): LeaseRight {
  const age = now - renewedAt
  if (age < durations.shardLeaseMs) return 'decide'
  return age < durations.runHorizonMs ? 'sustain' : 'none'
}
