/**
 * Gathers what the phase of a rollout is decided from.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { RolloutPhaseName } from "@sassafrasstage/protocol/rollouts";
import type { RegisteredServer } from "../register/server_register.js";
import type { FleetCounts } from "./fleet_counts.js";
import type { CandidateVerdict } from "./judge_candidate.js";
import { nextPhase, type PhaseDecision } from "./plan_rollout.js";
import type { CallCounts } from "./rollout_observations.js";
import type { RolloutRequest } from "./rollout_request.js";

export interface RolloutSituation {
  readonly phase: RolloutPhaseName;
  readonly request: RolloutRequest;
  readonly verdict: CandidateVerdict;
  readonly counts: FleetCounts;
  readonly totals: readonly CallCounts[];
  /** VMs in contact. */
  readonly participants: readonly VmId[];
  /** Servers of the service that can receive work. */
  readonly servers: readonly RegisteredServer[];
  /** Whether servers of other versions are known to have served. */
  readonly hasSeenCurrent: boolean;
  readonly nowMs: number;
}

export function decidePhase(situation: RolloutSituation): PhaseDecision {
  const { request, counts, totals, participants, servers } = situation;
  const { phase, verdict, nowMs } = situation;
  const candidateServers =
    servers.filter(({ softwareVersion }) => softwareVersion === request.to)
      .length;
  return nextPhase({
    phase,
    nowMs,
    orderedAtMs: counts.orderedAtMs,
    durationMs: request.durationMs,
    verdict,
    inFlightAtCurrent: counts.inFlightAtCurrent(participants),
    unconfirmedVms: counts.countUnconfirmed(participants, nowMs),
    candidateServers,
    currentServers: servers.length - candidateServers,
    hasSeenCurrentVersion: counts.hasSeenCurrent || situation.hasSeenCurrent ||
      totals.some(({ side, sent }) => side === "current" && sent > 0),
  });
}
