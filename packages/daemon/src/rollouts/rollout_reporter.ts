/**
 * Makes the reports that a VM sends to the rollout owner.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type {
  RolloutPhaseName,
  RolloutReport,
} from "@sassafrasstage/protocol/rollouts";
import type { ServiceRollout } from "./service_rollout.js";

export interface ReportInput {
  /** The VM that owns the rollout now. */
  readonly owner: VmId;
  readonly inFlightAtCurrent: number;
  readonly hasSeenCurrent: boolean;
  readonly nowMs: number;
}

/** Shortest time between two reports with changed counters. */
const REPORT_INTERVAL_MS = 250;
/** Unchanged reports show the owner that this VM is in contact. */
const UNCHANGED_INTERVAL_MS = 700;
/** The same long after the deadline of a rollout that stays undecided. */
const IDLE_INTERVAL_MS = 5000;
const IDLE_AFTER_DEADLINE_MS = 10_000;
/** Reports whose replies are still accepted. */
const REMEMBERED_REPORTS = 32;

export class RolloutReporter {
  readonly #view: ServiceRollout;
  readonly #sentAtMs = new Map<number, number>();
  #sequence = 0;
  #owner: VmId | undefined;
  #reportedAtMs = -Infinity;
  #reportedChanges = -1;
  #reportedInFlight = -1;
  #reportedPhase: RolloutPhaseName | undefined;

  constructor(view: ServiceRollout) {
    this.#view = view;
  }

  /** When the report was sent; undefined for one that is too old. */
  sentAtMs(sequence: number): number | undefined {
    return this.#sentAtMs.get(sequence);
  }

  takeIfDue(input: ReportInput): RolloutReport | undefined {
    const { nowMs, owner, inFlightAtCurrent } = input;
    const phase = this.#view.phase(nowMs);
    if (!this.#isDue(input, phase)) return undefined;
    this.#owner = owner;
    this.#reportedAtMs = nowMs;
    this.#reportedChanges = this.#view.counters.changes;
    this.#reportedInFlight = inFlightAtCurrent;
    this.#reportedPhase = phase;
    this.#sequence += 1;
    this.#sentAtMs.set(this.#sequence, nowMs);
    this.#sentAtMs.delete(this.#sequence - REMEMBERED_REPORTS);
    const { request } = this.#view.rollout;
    return {
      request: request.id,
      candidate: request.to,
      sequence: this.#sequence,
      counts: this.#view.counters.totals(),
      inFlightAtCurrent,
      phase,
      ageMs: Math.round(nowMs - this.#view.learnedAtMs),
      hasSeenCurrent: input.hasSeenCurrent,
      reserved: this.#view.reserved,
      term: this.#view.permits.term,
      permitUse: this.#view.permits.use(nowMs),
    };
  }

  #isDue(input: ReportInput, phase: RolloutPhaseName): boolean {
    const { nowMs } = input;
    if (input.owner !== this.#owner || phase !== this.#reportedPhase) {
      return true;
    }
    const sinceMs = nowMs - this.#reportedAtMs;
    const isChanged = this.#view.counters.changes !== this.#reportedChanges ||
      input.inFlightAtCurrent !== this.#reportedInFlight;
    if (isChanged && sinceMs >= REPORT_INTERVAL_MS) return true;
    const { durationMs } = this.#view.rollout.request;
    const isIdle = nowMs - this.#view.learnedAtMs >
      durationMs + IDLE_AFTER_DEADLINE_MS;
    return sinceMs >= (isIdle ? IDLE_INTERVAL_MS : UNCHANGED_INTERVAL_MS);
  }
}
