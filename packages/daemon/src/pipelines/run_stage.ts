/**
 * Runs one stage, retrying on different backend servers until a call completes.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import {
  type AttemptId,
  type BackendServerId,
  toId,
} from "@sassafrasstage/protocol/ids";
import type { FailedCall } from "../backend_servers/stage_call.js";
import type { RetryReason } from "../observability/metrics.js";
import { acquirePermit } from "./acquire_permit.js";
import type { PipelineEnvironment } from "./pipeline_environment.js";
import type { Refusal } from "./pipeline_request.js";
import { refuse, refuseAborted } from "./refuse.js";
import { runAttempt } from "./run_attempt.js";
import type { StageResult, StageRun } from "./stage_run.js";

const MAX_ATTEMPTS = 4;
const FAILURE_RETRY_AFTER_MS = 500;

/**
 * Resolves with the result of the attempt that completed, or with the refusal of
 * the whole request.
 *
 * @example
 * ```ts
 * const result = await runStage(environment, run);
 * ```
 */
export async function runStage(
  environment: PipelineEnvironment,
  run: StageRun,
): Promise<StageResult> {
  const excluded: BackendServerId[] = [];
  environment.retryBudget.deposit(run.service.name);
  for (let attempts = 1;; attempts += 1) {
    const attemptId = toId<AttemptId>(randomUUID());
    const acquired = await acquirePermit(environment, {
      run,
      attemptId,
      excluded,
    });
    if (acquired.kind === "refused") {
      return run.lifetime.abortSignal.aborted
        ? refuseAborted(run.lifetime)
        : acquired;
    }
    const finished = await runAttempt(environment, run, {
      granted: acquired.granted,
      attemptId,
    });
    const { result, callMs, granted } = finished;
    if (result.kind === "completed") {
      return { kind: "completed", call: result, granted, attempts, callMs };
    }
    const refusal = decideAfterFailure(environment, run, {
      failure: result,
      attempts,
    });
    if (refusal !== undefined) return refusal;
    excluded.push(granted.permit.backendServerId);
  }
}

interface FailedAttempt {
  readonly failure: FailedCall;
  readonly attempts: number;
}

/** Undefined if the stage may be retried. */
function decideAfterFailure(
  environment: PipelineEnvironment,
  run: StageRun,
  attempt: FailedAttempt,
): Refusal | undefined {
  const { failure } = attempt;
  const service = run.service.name;
  if (failure.cause === "foreignResult") {
    environment.metrics.countDrop("foreignResult");
  }
  environment.logger.debug("attemptFailed", {
    request: run.request.requestId,
    service,
    cause: failure.cause,
    detail: failure.detail,
  });
  if (run.lifetime.abortSignal.aborted) return refuseAborted(run.lifetime);
  if (!run.stage.idempotent && failure.mayHaveRun) {
    return refuse(run.lifetime, {
      reason: "outcomeUnknown",
      detail: `${failure.detail}; the call may have run`,
    });
  }
  const mayRetry = attempt.attempts < MAX_ATTEMPTS;
  const needsNoBudget = failure.cause === "connectFailed";
  if (
    !mayRetry ||
    !(needsNoBudget || environment.retryBudget.tryWithdraw(service))
  ) {
    return refuse(run.lifetime, {
      reason: mayRetry ? "retryBudgetSpent" : "backendServerFailed",
      detail: failure.detail,
      retryAfterMs: FAILURE_RETRY_AFTER_MS,
    });
  }
  environment.metrics.countRetry(service, toRetryReason(failure));
  run.request.listener?.onRestart();
  return undefined;
}

function toRetryReason(failure: FailedCall): RetryReason {
  return failure.cause === "canceled" ? "failed" : failure.cause;
}
