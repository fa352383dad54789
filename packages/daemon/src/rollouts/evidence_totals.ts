/**
 * Adds up what the VMs report during a rollout, over restarts of VMs and
 * changes of the owner.
 *
 * @module
 */

import {
  addCounts,
  type CallCounts,
  subtractCounts,
} from "./rollout_observations.js";

/** Identifies a VM and its incarnation. */
export type ReporterKey = string;

/**
 * Totals of the counters of all VMs and their former incarnations.
 *
 * A new owner starts from the evidence in the reservation object, which counts
 * VMs that are gone as well as those that still run. What running VMs report
 * first is subtracted from it, as they had counted at least as much of it, so
 * that nothing counts twice.
 *
 * @example
 * ```ts
 * const totals = new EvidenceTotals(reservation.evidence);
 * totals.record(`${vmId} ${incarnation}`, counts);
 * judgeCandidate(totals.sum(), window.split(totals.sum(), nowMs));
 * ```
 */
export class EvidenceTotals {
  readonly #stored: readonly CallCounts[];
  /** Sum of the first reports of all VMs. */
  #first: readonly CallCounts[] = [];
  readonly #latest = new Map<ReporterKey, readonly CallCounts[]>();

  constructor(stored: readonly CallCounts[] = []) {
    this.#stored = stored;
  }

  /** Takes the cumulative counters of one incarnation of a VM. */
  record(reporter: ReporterKey, counts: readonly CallCounts[]): void {
    if (!this.#latest.has(reporter)) {
      this.#first = addCounts(this.#first, counts);
    }
    this.#latest.set(reporter, counts);
  }

  /** The VM is gone; what it counted stays, but its calls have ended. */
  retire(reporter: ReporterKey): void {
    const counts = this.#latest.get(reporter);
    if (counts !== undefined) {
      this.#latest.set(reporter, withoutWaiting(counts));
    }
  }

  /** Totals so far; without calls in flight, they can be stored. */
  sum(): CallCounts[] {
    const ofGone = subtractCounts(
      withoutWaiting(this.#stored),
      withoutWaiting(this.#first),
    );
    return addCounts(ofGone, [...this.#latest.values()].flat());
  }
}

function withoutWaiting(counts: readonly CallCounts[]): CallCounts[] {
  return counts.map((item) => ({ ...item, waiting: [] }));
}
