/**
 * Updates what a pool's owner knows about a backend server when a call ends.
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

export interface CallResultContext {
  readonly servers: ServerTable;
  readonly baselines: LatencyBaselines;
  readonly nowMs: number;
}

/** Records a call's latency and outcome in the server table and baselines. */
export function recordCallResult(
  granted: GrantedPermit,
  release: PermitRelease,
  context: CallResultContext,
): void {
  const { servers, baselines, nowMs } = context;
  const { service } = servers;
  const { backendServerId, warmUpState } = granted.permit;
  const sampleMs = latencySample(service, release);
  const grade = sampleMs === undefined ? "unknown" : gradeLatency(
    sampleMs,
    baselines.get(service.name),
    servers.meanLatencyOfOthers(backendServerId),
  );
  if (warmUpState === "warm" && sampleMs !== undefined) {
    if (release.outcome === "completed" && grade !== "coldStart") {
      baselines.addSample(service.name, sampleMs);
    }
    servers.recordLatency(backendServerId, sampleMs);
  }
  servers.report(
    backendServerId,
    { outcome: release.outcome, grade, grantedAtMs: granted.grantedAtMs },
    nowMs,
  );
}
