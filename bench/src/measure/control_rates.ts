/**
 * Rates of the control traffic that daemons and platform counted during a run.
 *
 * @module
 */

import type { Cluster } from "@sassafrasstage/stand-ins/cluster/cluster";
import type { PlatformRecord } from "@sassafrasstage/stand-ins/platform/platform_faults";
import type { Count } from "../load/summary.js";
import { readSamples, type Sample, sumSamples } from "./metrics_snapshot.js";

const METRIC_PREFIX = "sassafrasstage_";

export interface ControlSnapshot {
  readonly atMs: number;
  readonly samples: readonly Sample[];
  readonly platform: PlatformRecord;
}

export interface ControlRates {
  readonly platformReadsPerSecond: number;
  readonly platformWritesPerSecond: number;
  /** Sum over all daemons. */
  readonly peerBytesPerSecond: number;
  readonly peerMessagesPerSecond: number;
  readonly retries: readonly Count[];
  readonly drops: readonly Count[];
}

/**
 * @example
 * ```ts
 * const before = await takeSnapshot(cluster);
 * ```
 */
export async function takeSnapshot(cluster: Cluster): Promise<ControlSnapshot> {
  const [samples, platform] = await Promise.all([
    readSamples(cluster),
    cluster.platform.record(),
  ]);
  return { atMs: performance.now(), samples, platform };
}

/**
 * Computes the rates between two snapshots. The counts of a daemon that
 * stopped in between are lost.
 *
 * @example
 * ```ts
 * const rates = computeRates(before, after);
 * ```
 */
export function computeRates(
  before: ControlSnapshot,
  after: ControlSnapshot,
): ControlRates {
  const seconds = (after.atMs - before.atMs) / 1000;
  function perSecond(event: string): number {
    const [earlier, later] = [before, after].map(({ samples }) =>
      sumSamples(samples, `${METRIC_PREFIX}events_total`, { event })
    );
    return Math.max(0, (later ?? 0) - (earlier ?? 0)) / seconds;
  }
  const calls = countPlatformCalls(before.platform, after.platform);
  return {
    platformReadsPerSecond: calls.reads / seconds,
    platformWritesPerSecond: calls.writes / seconds,
    peerBytesPerSecond: perSecond("peerBytesSent"),
    peerMessagesPerSecond: perSecond("peerMessagesSent"),
    retries: countByReason(before, after, `${METRIC_PREFIX}retries_total`),
    drops: countByReason(before, after, `${METRIC_PREFIX}drops_total`),
  };
}

function countPlatformCalls(
  before: PlatformRecord,
  after: PlatformRecord,
): { readonly reads: number; readonly writes: number } {
  const { read, list, watch, vms, update, remove } = after.calls;
  const earlier = before.calls;
  return {
    reads: read + list + watch + vms -
      (earlier.read + earlier.list + earlier.watch + earlier.vms),
    writes: update + remove - (earlier.update + earlier.remove),
  };
}

function countByReason(
  before: ControlSnapshot,
  after: ControlSnapshot,
  name: string,
): Count[] {
  const matching = after.samples.filter((sample) => sample.name === name);
  const reasons = new Set(
    matching.map((sample) => sample.labels["reason"] ?? ""),
  );
  return [...reasons]
    .map((reason) => ({
      name: reason,
      count: sumSamples(after.samples, name, { reason }) -
        sumSamples(before.samples, name, { reason }),
    }))
    .filter(({ count }) => count > 0);
}
