/**
 * Fits a straight line to measured points by least squares.
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
  /** The coefficient of determination: 1 is a perfect fit. */
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
  const squaredSizeDeviations = sum(
    points.map((point) => (point.size - meanSize) ** 2),
  );
  const slope = squaredSizeDeviations === 0
    ? 0
    : covariance / squaredSizeDeviations;
  const intercept = meanValue - slope * meanSize;
  const squaredValueDeviations = sum(
    points.map((point) => (point.value - meanValue) ** 2),
  );
  const squaredResiduals = sum(
    points.map((point) => (point.value - intercept - slope * point.size) ** 2),
  );
  const rSquared = squaredValueDeviations === 0
    ? 1
    : 1 - squaredResiduals / squaredValueDeviations;
  return { slope, intercept, rSquared };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function mean(values: readonly number[]): number {
  return sum(values) / values.length;
}
