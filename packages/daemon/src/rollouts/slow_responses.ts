/**
 * Determines which durations of a route count as slow, from what the current
 * version shows for that route.
 *
 * @module
 */

import { bucketsOfFactor, DURATION_BUCKETS } from "./rollout_observations.js";

export interface SlowThreshold {
  /** Responses in this bucket and later ones are slow. */
  readonly bucket: number;
  /** The same if all of these took `TOLERATED_FACTOR` as long. */
  readonly toleratedRate: number;
  /** Share of these that would be slow if they took `SLOW_FACTOR` as long. */
  readonly detectedShare: number;
}

/** A version that is several times slower takes at least three times as long. */
const SLOW_FACTOR = 3;
/**
 * Servers of one service differ in speed (0.55 to 1.3 of the usual one), and
 * few servers of the candidate are compared with many of the current version.
 */
const TOLERATED_FACTOR = 1.4;
/** Fewer durations don't show the shape of their distribution. */
const MIN_SAMPLES = 20;
/**
 * Weight of a false slow response against a missed one. At 1 the threshold is
 * near the median of wide distributions, where every response is ambiguous.
 */
const FALSE_WEIGHT = 2;

export function countOf(histogram: readonly number[]): number {
  return histogram.reduce((sum, count) => sum + count, 0);
}

/** Number of samples in the bucket and later ones. */
export function countFrom(
  histogram: readonly number[] | undefined,
  bucket: number,
): number {
  return countOf((histogram ?? []).slice(bucket));
}

/** The threshold that separates slowed responses best from usual ones. */
export function findSlowThreshold(
  current: readonly number[],
): SlowThreshold | undefined {
  const samples = countOf(current);
  if (samples < MIN_SAMPLES) return undefined;
  let best: SlowThreshold | undefined;
  let bestValue = -Infinity;
  for (let bucket = 1; bucket < DURATION_BUCKETS; bucket++) {
    const slowed = tailCount(current, bucket - bucketsOfFactor(SLOW_FACTOR));
    const candidate = {
      bucket,
      toleratedRate: toleratedCount(current, bucket) / samples,
      detectedShare: slowed / samples,
    };
    const value = candidate.detectedShare -
      FALSE_WEIGHT * candidate.toleratedRate;
    if (value <= bestValue) continue;
    best = candidate;
    bestValue = value;
  }
  return best;
}

/** Samples at or above a position, uniformly distributed in each bucket. */
export function tailCount(
  histogram: readonly number[],
  position: number,
): number {
  const bucket = Math.floor(Math.max(0, position));
  const within = 1 - (Math.max(0, position) - bucket);
  return (histogram[bucket] ?? 0) * within + countFrom(histogram, bucket + 1);
}

/** As `tailCount`, if all samples took `TOLERATED_FACTOR` as long. */
export function toleratedCount(
  histogram: readonly number[],
  bucket: number,
): number {
  return tailCount(histogram, bucket - bucketsOfFactor(TOLERATED_FACTOR));
}
