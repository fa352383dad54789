/**
 * Decides when a rollout moves to its next phase.
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

export function nextPhase(input: PhaseInput): PhaseDecision {
  const { phase, nowMs, verdict } = input;
  const deadlineMs = input.orderedAtMs + input.durationMs;
  const nextCheckAtMs = nowMs + 100;
  if (phase === "completed" || phase === "rolledBack") {
    return { phase, reason: "final", nextCheckAtMs: undefined };
  }
  if (verdict.kind === "faulty") {
    return { phase: "rolledBack", reason: verdict.reason, nextCheckAtMs };
  }
  if (phase === "observing") {
    const isDue = nowMs >= deadlineMs - 5000;
    return isDue && verdict.kind === "sound"
      ? { phase: "shifting", reason: verdict.reason, nextCheckAtMs }
      : { phase, reason: "collecting samples", nextCheckAtMs };
  }
  const isDrained = input.inFlightAtCurrent === 0 && input.unconfirmedVms === 0;
  return isDrained || nowMs >= deadlineMs - 1000
    ? { phase: "completed", reason: "drained", nextCheckAtMs: undefined }
    : { phase, reason: "draining", nextCheckAtMs };
}
