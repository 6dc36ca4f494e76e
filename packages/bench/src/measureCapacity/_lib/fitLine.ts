/** Line fitted to points. */
export interface Line {
  slope: number
  intercept: number
  /** Largest residual as a share of the largest absolute value; close to 0 when the relation is linear. */
  deviation: number
}

/**
 * Fits a straight line by least squares.
 *
 * @param points - Pairs of size and value with at least two different sizes.
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
  const varianceX = mean(points.map(([x]) => (x - meanX) ** 2))
  if (!(varianceX > 0)) throw new Error('cannot fit a line: the points do not have two different sizes')
  const slope = mean(points.map(([x, y]) => (x - meanX) * (y - meanY))) / varianceX
  const intercept = meanY - slope * meanX
  const largestValue = Math.max(...points.map(([, y]) => Math.abs(y)))
  const largestResidual = Math.max(...points.map(([x, y]) => Math.abs(y - intercept - slope * x)))
  return { slope, intercept, deviation: largestValue === 0 ? 0 : largestResidual / largestValue }
}
