/**
 * Splits the totals of a rollout's counters into slices of time, so that both
 * versions are compared at the same time, and so that what was counted lately
 * can be told from what was counted before.
 *
 * @module
 */

import { type JudgeOptions, RECENT_SLICES } from "./judge_candidate.js";
import { type CallCounts, subtractCounts } from "./rollout_observations.js";

/**
 * At one request a second from each of 84 VMs, a slice of the current version
 * has about 10 samples of each of three routes in each of three data centres.
 */
const SLICE_MS = 1000;
/** Bounds the cost of an analysis when a rollout takes minutes. */
const MAX_SLICES = 30;

interface Snapshot {
  readonly atMs: number;
  readonly totals: readonly CallCounts[];
}

/**
 * Totals of a rollout's counters over time.
 *
 * @example
 * ```ts
 * judgeCandidate(totals, window.split(totals, nowMs));
 * ```
 */
export class EvidenceWindow {
  #snapshots: Snapshot[] = [];

  /** Records the totals and splits them by time. */
  split(totals: readonly CallCounts[], nowMs: number): JudgeOptions {
    const starts = this.#snapshots;
    const ends = [...starts.slice(1), { atMs: nowMs, totals }];
    const beforeFirst = starts[0]?.totals ?? totals;
    const slices = [
      [...beforeFirst],
      ...starts.map((start, index) =>
        subtractCounts(ends[index]?.totals ?? totals, start.totals)
      ),
    ];
    const recentStart = starts.at(-RECENT_SLICES) ?? starts[0];
    this.#record(totals, nowMs);
    return {
      slices: slices.map((slice, index) =>
        index === slices.length - 1 ? slice : withoutWaiting(slice)
      ),
      recentMs: nowMs - (recentStart?.atMs ?? nowMs),
    };
  }

  #record(totals: readonly CallCounts[], nowMs: number): void {
    const last = this.#snapshots.at(-1);
    if (last !== undefined && nowMs - last.atMs < SLICE_MS) return;
    this.#snapshots.push({ atMs: nowMs, totals });
    if (this.#snapshots.length > MAX_SLICES) this.#snapshots.shift();
  }
}

/** Calls in flight are those of the last slice. */
function withoutWaiting(counts: readonly CallCounts[]): CallCounts[] {
  return counts.map((item) =>
    item.waiting === undefined ? item : { ...item, waiting: [] }
  );
}
