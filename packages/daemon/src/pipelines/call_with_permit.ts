/**
 * Makes one call with a permit, or releases the permit unused if it has expired.
 *
 * @module
 */

import type { AttemptId } from "@sassafrasstage/protocol/ids";
import type { FailedCall } from "../backend_servers/stage_call.js";
import type { PipelineEnvironment } from "./pipeline_environment.js";
import { runCall } from "./run_call.js";
import type { FinishedCall, GrantedServer, StageRun } from "./stage_run.js";

export interface GrantedAttempt {
  readonly granted: GrantedServer;
  readonly attemptId: AttemptId;
}

const EXPIRED_PERMIT: FailedCall = {
  kind: "failed",
  cause: "connectFailed",
  detail: "The permit expired before the call",
  mayHaveRun: false,
};

/**
 * @example
 * ```ts
 * const finished = await callWithPermit(environment, run, { granted, attemptId });
 * ```
 */
export async function callWithPermit(
  environment: PipelineEnvironment,
  run: StageRun,
  attempt: GrantedAttempt,
): Promise<FinishedCall> {
  const { permit } = attempt.granted;
  if (!environment.permits.isPermitValid(permit, environment.clock.nowMs())) {
    environment.permits.release(permit, {
      permitId: permit.permitId,
      backendServerId: permit.backendServerId,
      outcome: "notSent",
      durationMs: 0,
    });
    return { result: EXPIRED_PERMIT, callMs: 0 };
  }
  if (run.stage.idempotent) {
    return await runCall(environment, { run, ...attempt });
  }
  run.lifetime.markSent();
  const finished = await runCall(environment, { run, ...attempt });
  if (finished.result.kind === "failed" && !finished.result.mayHaveRun) {
    run.lifetime.markNotSent();
  }
  return finished;
}
