/**
 * What the rollout owner stores in its reservation.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { RolloutPhaseName } from "@sassafrasstage/protocol/rollouts";
import type { ExposureBudget } from "./exposure_budget.js";
import { type FleetCounts, withoutWaiting } from "./fleet_counts.js";
import type { CallCounts } from "./rollout_observations.js";
import type { RolloutRecord } from "./rollout_request.js";
import type { RecordContent } from "./rollout_reservation.js";

export interface RecordInput {
  readonly phase: RolloutPhaseName;
  readonly owner: VmId;
  /** What former owners stored, when the reservation is claimed. */
  readonly former: RolloutRecord | undefined;
  readonly counts: FleetCounts;
  readonly totals: readonly CallCounts[];
  /** Absent before the first claim. */
  readonly budget: ExposureBudget | undefined;
  readonly nowMs: number;
}

/** No figure is lower than one that was stored or told before. */
export function makeRecordContent(input: RecordInput): RecordContent {
  const { phase, owner, former, counts, totals, budget, nowMs } = input;
  const { orderedAtMs } = counts;
  return {
    phase,
    requests: Math.max(
      countRequests(totals),
      former?.requests ?? 0,
      budget?.serviceRequests ?? 0,
    ),
    reserved: Math.max(
      former?.reserved ?? 0,
      counts.reserved,
      budget?.reserved ?? 0,
    ),
    elapsedMs: Math.max(
      former?.elapsedMs ?? 0,
      orderedAtMs === Infinity ? 0 : Math.round(nowMs - orderedAtMs),
    ),
    owner,
    // The new owner hasn't collected the reports of all VMs yet.
    counts: former?.counts ?? totals.map(withoutWaiting),
  };
}

/** Requests of the service that VMs sent to either version. */
export function countRequests(totals: readonly CallCounts[]): number {
  return totals.reduce((sum, { sent }) => sum + sent, 0);
}
