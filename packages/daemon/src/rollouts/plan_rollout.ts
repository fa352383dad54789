/**
 * Decides when a rollout moves to its next phase.
 *
 * Evidence is collected for as long as the deadline allows, because a fault may
 * start late. What has to happen after that, within the time left: the current
 * version drains, and the store accepts the status.
 *
 * @module
 */

import type { CandidateVerdict } from "./judge_candidate.js";

export type RolloutPhase =
  | "observing"
  | "shifting"
  | "completed"
  | "rolledBack";

export interface PhaseInput {
  readonly phase: RolloutPhase;
  readonly nowMs: number;
  /** When the store accepted the rollout request. */
  readonly orderedAtMs: number;
  readonly durationMs: number;
  readonly verdict: CandidateVerdict;
  /** Calls in flight at the current version, over all VMs in contact. */
  readonly inFlightAtCurrent: number;
  /** VMs in contact that haven't confirmed the shift. */
  readonly unconfirmedVms: number;
  readonly candidateServers: number;
  readonly currentServers: number;
  /** Whether the service has had servers of another version since the request. */
  readonly hasSeenCurrentVersion: boolean;
}

export interface PhaseDecision {
  readonly phase: RolloutPhase;
  /** For the log; a change of it while the phase stays is worth a log line. */
  readonly reason: string;
  /** When the decision has to be taken again at the latest. */
  readonly nextCheckAtMs: number | undefined;
}

export interface PhaseTimes {
  /** When the shift starts if the verdict is sound. */
  readonly shiftAtMs: number;
  /** When a shift may start at the latest. */
  readonly lastShiftAtMs: number;
  /** When the final status has to be written. */
  readonly writeAtMs: number;
}

/** Streams of the observed routes have ended by then, but for a few. */
const MAX_DRAIN_MS = 4000;
const MAX_DRAIN_SHARE = 1 / 3;
/** Time for the store to accept the final status, with one repetition. */
const STORE_MARGIN_MS = 1000;
/** Of short rollouts, the margin takes no more than this part. */
const MAX_STORE_MARGIN_SHARE = 0.1;
/**
 * Part of the drain time that a late shift leaves. The streams that are then
 * cut off cost less than a sound version that isn't completed.
 */
const LATE_DRAIN_SHARE = 0.5;
/** Responses without a bad one that suffice although samples are scarce. */
const MIN_SCARCE_SAMPLES = 20;
/**
 * Highest miss risk with scarce samples: about ten good responses of each busy
 * route. Twenty of one route say nothing about a fault on another.
 */
const MAX_SCARCE_MISS_RISK = 0.1;
const CHECK_INTERVAL_MS = 100;

/**
 * Times of a rollout's phases.
 *
 * @example
 * ```ts
 * phaseTimes(0, 12_000); // shift at 7,000, at 9,000 at the latest
 * ```
 */
export function phaseTimes(
  orderedAtMs: number,
  durationMs: number,
): PhaseTimes {
  const drainMs = Math.min(MAX_DRAIN_MS, durationMs * MAX_DRAIN_SHARE);
  const writeAtMs = orderedAtMs + durationMs -
    Math.min(STORE_MARGIN_MS, durationMs * MAX_STORE_MARGIN_SHARE);
  return {
    shiftAtMs: writeAtMs - drainMs,
    lastShiftAtMs: writeAtMs - drainMs * LATE_DRAIN_SHARE,
    writeAtMs,
  };
}

/**
 * Returns the phase that the rollout is in from now on.
 *
 * @example
 * ```ts
 * const { phase, reason } = nextPhase({ phase: "observing", … });
 * ```
 */
export function nextPhase(input: PhaseInput): PhaseDecision {
  switch (input.phase) {
    case "observing":
      return observe(input);
    case "shifting":
      return shift(input);
    case "completed":
    case "rolledBack":
      return end(input.phase, "final");
  }
}

function observe(input: PhaseInput): PhaseDecision {
  const { nowMs, verdict } = input;
  const times = phaseTimes(input.orderedAtMs, input.durationMs);
  if (verdict.kind === "faulty") return end("rolledBack", verdict.reason);
  if (input.candidateServers === 0 && verdict.samples === 0) {
    return stay(input, "no server of the version");
  }
  if (input.currentServers === 0 && !input.hasSeenCurrentVersion) {
    return end("completed", "no other version");
  }
  if (nowMs >= times.writeAtMs) return end("rolledBack", "out of time");
  // All of its servers have gone: a shift would leave the service without any.
  if (input.candidateServers === 0) {
    return stay(input, "no server of the version left");
  }
  if (nowMs < times.shiftAtMs) return stay(input, "collecting samples");
  if (nowMs > times.lastShiftAtMs) {
    return end("rolledBack", `too late to shift: ${verdict.reason}`);
  }
  if (verdict.kind === "sound") return move("shifting", nowMs, verdict.reason);
  if (areScarceSamplesGood(verdict)) {
    return move("shifting", nowMs, "few samples, none of them bad");
  }
  return stay(input, `not shifting: ${verdict.reason}`);
}

function areScarceSamplesGood(verdict: CandidateVerdict): boolean {
  return verdict.bad === 0 && verdict.badServer === undefined &&
    verdict.samples >= MIN_SCARCE_SAMPLES &&
    (verdict.missRisk ?? 0) <= MAX_SCARCE_MISS_RISK;
}

function shift(input: PhaseInput): PhaseDecision {
  const { nowMs, verdict } = input;
  const { writeAtMs } = phaseTimes(input.orderedAtMs, input.durationMs);
  if (verdict.kind === "faulty") return end("rolledBack", verdict.reason);
  if (input.candidateServers === 0) {
    return end("rolledBack", "no server of the version left");
  }
  if (nowMs >= writeAtMs) {
    return end("completed", "out of time to drain the current version");
  }
  if (input.unconfirmedVms > 0) return stay(input, "unconfirmed");
  if (input.inFlightAtCurrent > 0) return stay(input, "draining");
  // Completing ends the observation, which is worth more than an early end.
  if (verdict.kind === "undecided" && verdict.bad > 0) {
    return stay(input, "drained, in doubt");
  }
  return end("completed", "drained");
}

function stay(
  { phase, nowMs }: PhaseInput,
  reason: string,
): PhaseDecision {
  return move(phase, nowMs, reason);
}

function move(
  phase: RolloutPhase,
  nowMs: number,
  reason: string,
): PhaseDecision {
  return { phase, reason, nextCheckAtMs: nowMs + CHECK_INTERVAL_MS };
}

function end(phase: RolloutPhase, reason: string): PhaseDecision {
  return { phase, reason, nextCheckAtMs: undefined };
}
