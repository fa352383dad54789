/**
 * Counters of the calls to both versions of a service during a rollout.
 *
 * @module
 */

import type { RolloutCallCounts } from "@sassafrasstage/protocol/rollouts";

export type VersionSide = CallCounts["side"];

/** Cumulative counts of one VM's calls on one route to one side. */
export type CallCounts = RolloutCallCounts;

export const DURATION_BUCKETS = 32;
const LONGEST_DURATION_MS = 120_000;
/** Buckets for each factor of e: the first starts at 1 ms, the last at 120 s. */
const BUCKETS_PER_E = (DURATION_BUCKETS - 1) / Math.log(LONGEST_DURATION_MS);

/**
 * Index of the log-spaced bucket of a duration, from 0 to 31. A bucket is 1.46
 * times as long as the one before it.
 *
 * @example
 * ```ts
 * durations[bucketOf(350)] += 1;
 * ```
 */
export function bucketOf(durationMs: number): number {
  if (!(durationMs > 1)) return 0;
  const index = Math.floor(Math.log(durationMs) * BUCKETS_PER_E);
  return Math.min(DURATION_BUCKETS - 1, index);
}

/** Number of buckets by which a duration moves when it is multiplied. */
export function bucketsOfFactor(factor: number): number {
  return Math.log(factor) * BUCKETS_PER_E;
}

export function emptyHistogram(): number[] {
  return new Array<number>(DURATION_BUCKETS).fill(0);
}

/** Identifies what is counted together. */
export function countsKey(counts: CallCounts): string {
  const { route, side, server, dataCentre } = counts;
  return [route, side, server ?? "", dataCentre ?? ""].join("\n");
}

/** Adds up counters of the same route, side, server and data centre. */
export function addCounts(
  a: readonly CallCounts[],
  b: readonly CallCounts[],
): CallCounts[] {
  // Grouped first: the owner adds up the counters of all VMs several times a
  // second, and pairwise sums would copy every histogram for each VM.
  const groups = new Map<string, CallCounts[]>();
  for (const counts of [...a, ...b]) {
    const key = countsKey(counts);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [counts]);
    else group.push(counts);
  }
  return [...groups.values()].flatMap(sumGroup);
}

function sumGroup(group: readonly CallCounts[]): CallCounts[] {
  const [first, ...others] = group;
  if (first === undefined) return [];
  if (others.length === 0) return [first];
  const durations = [...first.durations];
  const waiting = [...first.waiting ?? []];
  const pauses = [...first.pauses ?? []];
  let { sent, answered, failed } = first;
  for (const counts of others) {
    sent += counts.sent;
    answered += counts.answered;
    failed += counts.failed;
    addTo(durations, counts.durations);
    addTo(waiting, counts.waiting);
    addTo(pauses, counts.pauses);
  }
  return [{
    ...first,
    sent,
    answered,
    failed,
    durations,
    ...(waiting.length > 0 ? { waiting } : {}),
    ...(pauses.length > 0 ? { pauses } : {}),
  }];
}

function addTo(sum: number[], histogram: readonly number[] = []): void {
  for (let bucket = 0; bucket < histogram.length; bucket++) {
    sum[bucket] = (sum[bucket] ?? 0) + (histogram[bucket] ?? 0);
  }
}

/**
 * What was counted after `earlier`, which are counters of the same VMs. Calls
 * in flight are those of `later`.
 */
export function subtractCounts(
  later: readonly CallCounts[],
  earlier: readonly CallCounts[],
): CallCounts[] {
  const before = new Map(earlier.map((counts) => [countsKey(counts), counts]));
  return later.map((counts) => {
    const former = before.get(countsKey(counts));
    return former === undefined ? counts : subtract(counts, former);
  });
}

function subtract(a: CallCounts, b: CallCounts): CallCounts {
  return {
    ...a,
    sent: difference(a.sent, b.sent),
    answered: difference(a.answered, b.answered),
    failed: difference(a.failed, b.failed),
    durations: subtractHistogram(a.durations, b.durations),
    ...(a.pauses === undefined
      ? {}
      : { pauses: subtractHistogram(a.pauses, b.pauses ?? []) }),
  };
}

/** A VM that was removed or restarted makes totals smaller than before. */
function difference(a: number, b: number): number {
  return Math.max(0, a - b);
}

function subtractHistogram(
  a: readonly number[],
  b: readonly number[],
): number[] {
  return a.map((count, bucket) => difference(count, b[bucket] ?? 0));
}
