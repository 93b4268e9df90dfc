/** Straight lines through measured points by ordinary least squares, with their error. */

/** One measured point. */
export interface Point {
  readonly x: number
  readonly y: number
}

/** The line `y = intercept + slope * x`. */
export interface LineFit {
  readonly slope: number
  readonly intercept: number
  /** Part of the variance that the line explains; 1 is a perfect fit. */
  readonly r2: number
  /** Standard deviation of the points from the line, in the unit of `y`. */
  readonly residual: number
}

/** The parameters of a line, which the points have to spare. */
const LINE_PARAMETERS = 2

/**
 * @param points at least three, with at least two different `x`
 * @returns the line with the least squares of deviations in `y`
 */
export function computeLineFit (points: readonly Point[]): LineFit {
  const meanX = computeMean(points.map(({ x }) => x))
  const meanY = computeMean(points.map(({ y }) => y))
  const sumXX = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
  const sumXY = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0)
  const sumYY = points.reduce((sum, { y }) => sum + (y - meanY) ** 2, 0)
  const slope = sumXY / sumXX
  const intercept = meanY - slope * meanX
  const left = points.reduce((sum, { x, y }) => sum + (y - intercept - slope * x) ** 2, 0)
  const r2 = sumYY === 0 ? 1 : 1 - left / sumYY
  return { slope, intercept, r2, residual: Math.sqrt(left / Math.max(1, points.length - LINE_PARAMETERS)) }
}

function computeMean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

/**
 * @param values at least one
 * @returns the middle one; of an even number the upper middle
 */
export function computeMedian (values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.floor(sorted.length / 2)] ?? NaN
}

/**
 * The least of some rounds tells best what a computation takes by itself: other
 * processes of the machine can only add to it.
 * @param rounds how many
 * @param measureOnce one round's figure
 * @returns the least figure
 */
export function measureLeast (rounds: number, measureOnce: () => number): number {
  return Math.min(...Array.from({ length: rounds }, measureOnce))
}
