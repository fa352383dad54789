/**
 * Keeps the totals of the last seconds, so that what was counted lately can be
 * told from what was counted before.
 *
 * @module
 */

import { type CallCounts, subtractCounts } from "./rollout_observations.js";

/** Length of the time that counts as recent. */
const RECENT_MS = 2500;
/** Time between two totals that are kept. */
const STEP_MS = 250;

interface Snapshot {
  readonly atMs: number;
  readonly totals: readonly CallCounts[];
}

/**
 * Totals of a rollout's counters over time.
 *
 * @example
 * ```ts
 * window.record(totals, nowMs);
 * judgeCandidate(totals, { recent: window.recent(totals, nowMs) });
 * ```
 */
export class EvidenceWindow {
  #snapshots: Snapshot[] = [];

  record(totals: readonly CallCounts[], nowMs: number): void {
    const last = this.#snapshots.at(-1);
    if (last !== undefined && nowMs - last.atMs < STEP_MS) return;
    this.#snapshots.push({ atMs: nowMs, totals });
    // The newest of those that are older than the window is its start.
    while ((this.#snapshots[1]?.atMs ?? nowMs) <= nowMs - RECENT_MS) {
      this.#snapshots.shift();
    }
  }

  /** What was counted lately; all of the totals if they are all recent. */
  recent(totals: readonly CallCounts[], nowMs: number): CallCounts[] {
    const start = this.#snapshots.findLast(({ atMs }) =>
      atMs <= nowMs - RECENT_MS
    );
    return subtractCounts(totals, start?.totals ?? []);
  }
}
