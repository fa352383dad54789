/**
 * What the end of a call shows its pool's owner of the backend server.
 *
 * @module
 */

import type { PermitRelease } from "@sassafrasstage/protocol/permits";
import type { GrantedPermit } from "./granted_permits.js";
import {
  gradeLatency,
  type LatencyBaselines,
  latencySample,
} from "./latency_baseline.js";
import type { ServerTable } from "./server_table.js";

export interface PoolKnowledge {
  readonly servers: ServerTable;
  readonly baselines: LatencyBaselines;
  readonly nowMs: number;
}

/** Takes the call's latency and outcome into the pool's knowledge. */
export function learnFromRelease(
  granted: GrantedPermit,
  release: PermitRelease,
  knowledge: PoolKnowledge,
): void {
  const { servers, baselines, nowMs } = knowledge;
  const { service } = servers;
  const { backendServerId, warmUpState } = granted.permit;
  const sampleMs = latencySample(service, release);
  const grade = sampleMs === undefined ? "usual" : gradeLatency(
    sampleMs,
    baselines.of(service.name),
    servers.latencyWithout(backendServerId),
  );
  if (warmUpState === "warm" && sampleMs !== undefined) {
    if (release.outcome === "completed" && grade !== "coldStart") {
      baselines.note(service.name, sampleMs);
    }
    servers.noteLatency(backendServerId, sampleMs);
  }
  servers.report(
    backendServerId,
    { outcome: release.outcome, grade, grantedAtMs: granted.grantedAtMs },
    nowMs,
  );
}
