/**
 * What the daemons and the platform counted during a run, by second.
 *
 * @module
 */

import type { Cluster } from "@sassafrasstage/stand-ins/cluster/cluster";
import type { PlatformRecord } from "@sassafrasstage/stand-ins/platform/platform_faults";
import type { Count } from "../load/summary.js";
import { readSamples, type Sample, sumSamples } from "./metrics_snapshot.js";

const PREFIX = "sassafrasstage_";

export interface ControlSnapshot {
  readonly atMs: number;
  readonly samples: readonly Sample[];
  readonly platform: PlatformRecord;
}

export interface ControlRates {
  readonly platformReadsPerSecond: number;
  readonly platformWritesPerSecond: number;
  /** Of all daemons together. */
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
 * What was counted between two snapshots. A daemon that ended meanwhile takes
 * its counts with it.
 *
 * @example
 * ```ts
 * const rates = diffRates(before, after);
 * ```
 */
export function diffRates(
  before: ControlSnapshot,
  after: ControlSnapshot,
): ControlRates {
  const seconds = (after.atMs - before.atMs) / 1000;
  function perSecond(event: string): number {
    const [first, last] = [before, after].map(({ samples }) =>
      sumSamples(samples, `${PREFIX}events_total`, { event })
    );
    return Math.max(0, (last ?? 0) - (first ?? 0)) / seconds;
  }
  const calls = diffCalls(before.platform, after.platform);
  return {
    platformReadsPerSecond: calls.reads / seconds,
    platformWritesPerSecond: calls.writes / seconds,
    peerBytesPerSecond: perSecond("peerBytesSent"),
    peerMessagesPerSecond: perSecond("peerMessagesSent"),
    retries: diffByReason(before, after, `${PREFIX}retries_total`),
    drops: diffByReason(before, after, `${PREFIX}drops_total`),
  };
}

function diffCalls(
  before: PlatformRecord,
  after: PlatformRecord,
): { readonly reads: number; readonly writes: number } {
  const { read, list, watch, vms, update, remove } = after.calls;
  const old = before.calls;
  return {
    reads: read + list + watch + vms -
      (old.read + old.list + old.watch + old.vms),
    writes: update + remove - (old.update + old.remove),
  };
}

function diffByReason(
  before: ControlSnapshot,
  after: ControlSnapshot,
  name: string,
): Count[] {
  const labelled = after.samples.filter((sample) => sample.name === name);
  const reasons = new Set(
    labelled.map((sample) => sample.labels["reason"] ?? ""),
  );
  return [...reasons]
    .map((reason) => ({
      name: reason,
      count: sumSamples(after.samples, name, { reason }) -
        sumSamples(before.samples, name, { reason }),
    }))
    .filter(({ count }) => count > 0);
}
