/**
 * Counts bad responses, by the kind of fault that they show.
 *
 * @module
 */

import type { CallCounts } from "./rollout_observations.js";
import {
  countFrom,
  countOf,
  findSlowThreshold,
  type SlowThreshold,
  toleratedCount,
} from "./slow_responses.js";

/**
 * `failures` includes the responses of cold servers, `responses` are failures
 * and slow responses of servers that aren't cold, `pauses` are long pauses in
 * streams.
 */
export const FAULT_KINDS = ["failures", "responses", "pauses"] as const;
export type FaultKind = typeof FAULT_KINDS[number];

/** What counts as slow on a route. */
export interface RouteThresholds {
  readonly response: SlowThreshold | undefined;
  readonly pause: SlowThreshold | undefined;
}

export interface BadCount {
  readonly samples: number;
  readonly bad: number;
}

export const NOTHING: BadCount = { samples: 0, bad: 0 };

export function findThresholds(
  current: readonly CallCounts[],
): RouteThresholds {
  return {
    response: findSlowThreshold(sumOf(current, ({ durations }) => durations)),
    pause: findSlowThreshold(sumOf(current, ({ pauses }) => pauses ?? [])),
  };
}

/** Bad responses of the candidate, or of the current version as they are. */
export function countBad(
  counts: CallCounts,
  kind: FaultKind,
  { response, pause }: RouteThresholds,
): BadCount {
  const { answered, failed, durations, waiting, pauses = [] } = counts;
  switch (kind) {
    case "failures":
      return { samples: answered + failed, bad: failed };
    case "responses": {
      if (response === undefined) return NOTHING;
      const overdue = countFrom(waiting, response.bucket);
      return {
        samples: failed + countOf(durations) + overdue,
        bad: failed + countFrom(durations, response.bucket) + overdue,
      };
    }
    case "pauses":
      return pause === undefined ? NOTHING : {
        samples: countOf(pauses),
        bad: countFrom(pauses, pause.bucket),
      };
  }
}

/**
 * Bad responses that the current version would have on servers that are slower
 * within the tolerance.
 */
export function countTolerated(
  counts: CallCounts,
  kind: FaultKind,
  thresholds: RouteThresholds,
): BadCount {
  const { samples, bad } = countBad(counts, kind, thresholds);
  const { response, pause } = thresholds;
  if (kind === "responses" && response !== undefined) {
    const { durations } = counts;
    const extra = toleratedCount(durations, response.bucket) -
      countFrom(durations, response.bucket);
    return { samples, bad: bad + extra };
  }
  if (kind === "pauses" && pause !== undefined) {
    return { samples, bad: toleratedCount(counts.pauses ?? [], pause.bucket) };
  }
  return { samples, bad };
}

export function addBad(a: BadCount, b: BadCount): BadCount {
  return { samples: a.samples + b.samples, bad: a.bad + b.bad };
}

/** Adds up bad responses of several counters. */
export function sumBad(
  counts: readonly CallCounts[],
  count: (counts: CallCounts) => BadCount,
): BadCount {
  return counts.map(count).reduce(addBad, NOTHING);
}

function sumOf(
  counts: readonly CallCounts[],
  histogram: (counts: CallCounts) => readonly number[],
): number[] {
  const sum: number[] = [];
  for (const item of counts) {
    for (const [bucket, count] of histogram(item).entries()) {
      sum[bucket] = (sum[bucket] ?? 0) + count;
    }
  }
  return Array.from(sum, (count: number | undefined) => count ?? 0);
}
