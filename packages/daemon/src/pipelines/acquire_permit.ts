/**
 * Acquires a permit for one attempt of a stage from the best pool that grants it.
 *
 * @module
 */

import type { AttemptId, BackendServerId } from "@sassafrasstage/protocol/ids";
import type {
  PermitDecision,
  PermitRequest,
} from "@sassafrasstage/protocol/permits";
import { getConfigurationIndex } from "../configuration/configuration_index.js";
import type { PipelineEnvironment } from "./pipeline_environment.js";
import { refuse } from "./refuse.js";
import type { Refusal } from "./pipeline_request.js";
import { planStage } from "./stage_plan.js";
import type { GrantedServer, StageRun } from "./stage_run.js";

const NO_SERVER_RETRY_AFTER_MS = 1000;

export interface AttemptRequest {
  readonly run: StageRun;
  readonly attemptId: AttemptId;
  readonly excluded: readonly BackendServerId[];
  /** Cancels the wait; defaults to the abort signal of the request's lifetime. */
  readonly signal?: AbortSignal;
}

export type AcquireResult =
  | { readonly kind: "granted"; readonly granted: GrantedServer }
  | Refusal;

/**
 * Asks the candidate pools sequentially, best first.
 *
 * @example
 * ```ts
 * const acquired = await acquirePermit(environment, { run, attemptId, excluded });
 * ```
 */
export async function acquirePermit(
  environment: PipelineEnvironment,
  attempt: AttemptRequest,
): Promise<AcquireResult> {
  const { run } = attempt;
  const signal = attempt.signal ?? run.lifetime.abortSignal;
  const pools = environment.permits.candidatePools(
    run.service.name,
    environment.clock.nowMs(),
  );
  let refusal = refuse(run.lifetime, {
    reason: "noBackendServer",
    detail: `No data centre in service offers "${run.service.name}"`,
    retryAfterMs: NO_SERVER_RETRY_AFTER_MS,
  });
  for (const pool of pools) {
    const permitRequest = makePermitRequest(environment, attempt);
    if (permitRequest.latestStartInMs <= 0) return refuseForDeadline(run);
    const decision = await environment.permits.acquire(
      { ...permitRequest, pool },
      signal,
    );
    const result = toAcquireResult(environment, run, decision);
    if (result.kind === "granted") return result;
    refusal = result;
    if (signal.aborted) return refusal;
  }
  return refusal;
}

function makePermitRequest(
  environment: PipelineEnvironment,
  attempt: AttemptRequest,
): Omit<PermitRequest, "pool"> {
  const { request, stage } = attempt.run;
  const nowMs = environment.clock.nowMs();
  const plan = planStage({
    pipeline: request.pipeline,
    stage,
    deadlineAtMs: request.deadlineAtMs,
    estimates: environment.estimates,
  }, nowMs);
  return {
    requestId: request.requestId,
    attemptId: attempt.attemptId,
    clientAccountId: request.clientAccountId,
    urgency: request.pipeline.urgency,
    latestStartInMs: plan.latestStartAtMs - nowMs,
    deadlineInMs: request.deadlineAtMs - nowMs,
    likelyDurationMs: plan.likelyDurationMs,
    prefixKey: `${request.clientAccountId}/${request.pipeline.name}`,
    excluded: attempt.excluded,
  };
}

function toAcquireResult(
  environment: PipelineEnvironment,
  run: StageRun,
  decision: PermitDecision,
): AcquireResult {
  if (decision.kind === "refused") return refuse(run.lifetime, decision);
  const { permit } = decision;
  const server = getConfigurationIndex(run.request.configuration).backendServers
    .get(
      permit.backendServerId,
    );
  if (server !== undefined) {
    return { kind: "granted", granted: { permit, server } };
  }
  // The pool's owner already uses a newer server register than this request.
  environment.permits.release(permit, {
    permitId: permit.permitId,
    backendServerId: permit.backendServerId,
    outcome: "notSent",
    durationMs: 0,
  });
  return refuse(run.lifetime, {
    reason: "noBackendServer",
    detail: "The register changed while the request waited",
    retryAfterMs: 0,
  });
}

function refuseForDeadline(run: StageRun): Refusal {
  return refuse(run.lifetime, {
    reason: "deadlineWouldBeMissed",
    detail: `Stage "${run.stage.name}" can't end before the deadline`,
    retryAfterMs: 0,
  });
}
