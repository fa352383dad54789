/**
 * Splits the totals of a rollout's counters into slices of time, so that both
 * versions are compared at the same time, and so that what was counted lately
 * can be told from what was counted before.
 *
 * @module
 */

import { type JudgeOptions, RECENT_SLICES } from "./judge_candidate.js";
import {
  addCounts,
  type CallCounts,
  subtractCounts,
} from "./rollout_observations.js";

/**
 * At one request a second from each of 84 VMs, a slice of the current version
 * has about 10 samples of each of three routes in each of three data centres.
 */
const SLICE_MS = 1000;
/** Bounds the cost of an analysis when a rollout takes minutes. */
const MAX_SLICES = 30;

/**
 * Totals of a rollout's counters over time.
 *
 * @example
 * ```ts
 * judgeCandidate(totals, window.split(totals, nowMs));
 * ```
 */
export class EvidenceWindow {
  /** Slices that have ended, and when each of them began. */
  #ended: { readonly startMs: number; readonly counts: CallCounts[] }[] = [];
  #endedTotals: readonly CallCounts[] = [];
  #startMs: number | undefined;

  /** Splits the totals by time, and ends the last slice if it is long enough. */
  split(totals: readonly CallCounts[], nowMs: number): JudgeOptions {
    const startMs = this.#startMs ?? nowMs;
    this.#startMs = startMs;
    const last = subtractCounts(totals, this.#endedTotals);
    const firstRecent = this.#ended.at(1 - RECENT_SLICES) ?? this.#ended[0];
    const options = {
      slices: [...this.#ended.map(({ counts }) => counts), last],
      recentMs: nowMs - (firstRecent?.startMs ?? startMs),
    };
    // What was counted before the first totals is a slice of its own.
    if (this.#ended.length === 0 || nowMs - startMs >= SLICE_MS) {
      this.#ended.push({ startMs, counts: withoutWaiting(last) });
      this.#endedTotals = totals;
      this.#startMs = nowMs;
      this.#mergeOldest();
    }
    return options;
  }

  #mergeOldest(): void {
    const [first, second, ...others] = this.#ended;
    if (first === undefined || second === undefined) return;
    if (this.#ended.length < MAX_SLICES) return;
    const counts = addCounts(first.counts, second.counts);
    this.#ended = [{ startMs: first.startMs, counts }, ...others];
  }
}

/** Calls in flight are those of the last slice. */
function withoutWaiting(counts: readonly CallCounts[]): CallCounts[] {
  return counts.map((item) =>
    item.waiting === undefined ? item : { ...item, waiting: [] }
  );
}
