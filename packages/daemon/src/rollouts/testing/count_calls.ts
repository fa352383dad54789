/**
 * Counts calls in virtual time as a VM reports them.
 *
 * @module
 */

import type {
  BackendServerId,
  DataCentreName,
} from "@sassafrasstage/protocol/ids";
import {
  bucketOf,
  type CallCounts,
  countsKey,
  emptyHistogram,
  type VersionSide,
} from "../rollout_observations.js";

export interface SimulatedCall {
  readonly side: VersionSide;
  readonly route: string;
  readonly server: BackendServerId;
  readonly dataCentre: DataCentreName;
  readonly sentAtMs: number;
}

export interface EndedCall extends SimulatedCall {
  /** Calls of the same key are counted together. */
  readonly key: string;
  readonly durationMs: number;
  readonly isFailed: boolean;
}

interface MutableCounts extends CallCounts {
  sent: number;
  answered: number;
  failed: number;
  readonly durations: number[];
  readonly waiting: number[];
}

export function keyOf(call: SimulatedCall): string {
  return countsKey(emptyCounts(call));
}

/** Cumulative counts of the calls sent so far. */
export function countCalls(
  calls: readonly EndedCall[],
  nowMs: number,
): CallCounts[] {
  const counts = new Map<string, MutableCounts>();
  for (const call of calls) {
    if (call.sentAtMs > nowMs) continue;
    const item = counts.get(call.key) ?? emptyCounts(call);
    counts.set(call.key, item);
    item.sent += 1;
    const ageMs = nowMs - call.sentAtMs;
    const bucket = bucketOf(Math.min(ageMs, call.durationMs));
    if (ageMs < call.durationMs) add(item.waiting, bucket);
    else if (call.isFailed) item.failed += 1;
    else {
      item.answered += 1;
      add(item.durations, bucket);
    }
  }
  return [...counts.values()];
}

function add(histogram: number[], bucket: number): void {
  histogram[bucket] = (histogram[bucket] ?? 0) + 1;
}

function emptyCounts(call: SimulatedCall): MutableCounts {
  const { route, side, server, dataCentre } = call;
  return {
    route,
    side,
    server: side === "candidate" ? server : undefined,
    dataCentre,
    sent: 0,
    answered: 0,
    failed: 0,
    durations: emptyHistogram(),
    waiting: emptyHistogram(),
  };
}
