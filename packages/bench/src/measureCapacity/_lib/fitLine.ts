export interface Line {
  slope: number
  intercept: number
  /** Largest distance of a point from the line, as a share of the largest value; near 0 for a linear relation. */
  deviation: number
}

/**
 * Fits a straight line by least squares.
 *
 * @param points - Pairs of size and value, at two different sizes at least.
 * @returns The line and its largest deviation.
 * @throws Error when all sizes are the same.
 *
 * @example
 * fitLine([[1, 3], [2, 5], [3, 7]]) // => { slope: 2, intercept: 1, deviation: 0 }
 */
export function fitLine (points: Array<[number, number]>): Line {
  const mean = (values: number[]) => values.reduce((sum, value) => sum + value, 0) / values.length
  const meanX = mean(points.map(([x]) => x))
  const meanY = mean(points.map(([, y]) => y))
  const spread = mean(points.map(([x]) => (x - meanX) ** 2))
  if (!(spread > 0)) throw new Error('a line needs two different sizes')
  const slope = mean(points.map(([x, y]) => (x - meanX) * (y - meanY))) / spread
  const intercept = meanY - slope * meanX
  const largest = Math.max(...points.map(([, y]) => Math.abs(y)))
  const distance = Math.max(...points.map(([x, y]) => Math.abs(y - intercept - slope * x)))
  return { slope, intercept, deviation: largest === 0 ? 0 : distance / largest }
}
