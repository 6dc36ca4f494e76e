/**
 * Returns a quantile of sorted numbers, interpolated between the two nearest ones.
 *
 * @param sorted - Numbers in ascending order; at least one.
 * @param share - Share of the numbers that are at most the result, 0 to 1.
 * @returns The quantile.
 */
export function quantile (sorted: ArrayLike<number>, share: number): number {
  const position = share * (sorted.length - 1)
  const below = Math.floor(position)
  const low = sorted[below]!
  const high = sorted[Math.min(below + 1, sorted.length - 1)]!
  return low + (position - below) * (high - low)
}
