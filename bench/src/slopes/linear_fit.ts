/**
 * A straight line through measured points, by least squares.
 *
 * @module
 */

export interface Point {
  readonly size: number;
  readonly value: number;
}

export interface LinearFit {
  readonly slope: number;
  readonly intercept: number;
  /** The coefficient of determination: 1 is a perfect line. */
  readonly rSquared: number;
}

/**
 * Fits `value = intercept + slope × size`.
 *
 * @example
 * ```ts
 * fitLine([{ size: 1, value: 3 }, { size: 2, value: 5 }]).slope; // 2
 * ```
 */
export function fitLine(points: readonly Point[]): LinearFit {
  const meanSize = mean(points.map((point) => point.size));
  const meanValue = mean(points.map((point) => point.value));
  const covariance = sum(
    points.map((point) => (point.size - meanSize) * (point.value - meanValue)),
  );
  const sizeSpread = sum(points.map((point) => (point.size - meanSize) ** 2));
  const slope = sizeSpread === 0 ? 0 : covariance / sizeSpread;
  const intercept = meanValue - slope * meanSize;
  const valueSpread = sum(
    points.map((point) => (point.value - meanValue) ** 2),
  );
  const residue = sum(
    points.map((point) => (point.value - intercept - slope * point.size) ** 2),
  );
  const rSquared = valueSpread === 0 ? 1 : 1 - residue / valueSpread;
  return { slope, intercept, rSquared };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function mean(values: readonly number[]): number {
  return sum(values) / values.length;
}
