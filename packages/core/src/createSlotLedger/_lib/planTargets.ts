/** Load of one entry at one endpoint. */
export interface EntryLoad {
  entry: string
  /** Requests in flight and waiting, smoothed. */
  load: number
  /** Added to the remainder of the entry's share when the last tokens are assigned; grows while it has no token. */
  starvation: number
}

/**
 * Divides tokens among entries. If there are enough, each entry gets its load plus a part of the rest in proportion to
 * the square root of the load, since the standard deviation of a random load grows that way. Otherwise the shares are
 * proportional to the load, so that callers wait about equally long at each entry.
 *
 * @param tokens - Tokens to divide.
 * @param loads - Load of each entry.
 * @returns Whole tokens by entry; their sum is `tokens` unless there are no entries.
 *
 * @example
 * planTargets(10, [{ entry: 'a', load: 3, starvation: 0 }, { entry: 'b', load: 0, starvation: 0 }])
 */
export function planTargets (tokens: number, loads: EntryLoad[]): Map<string, number> {
  const total = loads.reduce((sum, { load }) => sum + load, 0)
  const weights = loads.map(({ load }) => Math.sqrt(load + 1))
  const weightSum = weights.reduce((sum, weight) => sum + weight, 0)
  const shares = loads.map((each, index) => {
    const share = total <= tokens
      ? each.load + (tokens - total) * (weights[index] ?? 0) / weightSum
      : tokens * each.load / total
    return { ...each, whole: Math.floor(share), remainder: share - Math.floor(share) + each.starvation }
  })
  let left = Math.round(tokens - shares.reduce((sum, { whole }) => sum + whole, 0))
  shares.sort((a, b) => b.remainder - a.remainder || (a.entry < b.entry ? -1 : 1))
  return new Map(shares.map((share) => [share.entry, share.whole + (left-- > 0 ? 1 : 0)]))
}
