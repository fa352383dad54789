/**
 * Runs a request under a claim on its `Idempotency-Key` if it needs one.
 *
 * @module
 */

import type { ClaimOutcome } from "@sassafrasstage/protocol/claims";
import { type AttemptId, toId } from "@sassafrasstage/protocol/ids";
import { randomUUID } from "node:crypto";
import type { ClaimDecision, HeldClaim } from "../claims/claim_store.js";
import type { PipelineEnvironment } from "./pipeline_environment.js";
import {
  isNonIdempotent,
  type PipelineRequest,
  type PipelineResult,
} from "./pipeline_request.js";
import { toRecordedAnswer } from "./recorded_answer.js";
import { refuse } from "./refuse.js";
import type { RequestLifetime } from "./request_lifetime.js";
import { runStages } from "./run_stages.js";

interface KeyedRequest extends PipelineRequest {
  readonly idempotencyKey: string;
}

function isKeyed(request: PipelineRequest): request is KeyedRequest {
  return request.idempotencyKey !== undefined;
}

/**
 * Makes no claim if the request has no key or all its stages are idempotent.
 *
 * @example
 * ```ts
 * const result = await runWithClaim(environment, request, lifetime);
 * ```
 */
export async function runWithClaim(
  environment: PipelineEnvironment,
  request: PipelineRequest,
  lifetime: RequestLifetime,
): Promise<PipelineResult> {
  if (!isKeyed(request) || !isNonIdempotent(request.pipeline)) {
    return await runStages(environment, request, lifetime);
  }
  const decision = await claimKey(environment, request, lifetime);
  if (decision.kind !== "held") return toResult(decision, lifetime);
  try {
    const result = await runStages(environment, request, lifetime);
    void recordOutcome(environment, decision.claim, toClaimOutcome(result));
    return result;
  } catch (error) {
    const kind = lifetime.mayHaveRun ? "unknown" : "notRun";
    void recordOutcome(environment, decision.claim, { kind });
    throw error;
  }
}

/**
 * Until the claim is decided, an earlier request with the key may be running. The
 * request is marked as sent meanwhile, so that a deadline doesn't report "not run".
 */
async function claimKey(
  environment: PipelineEnvironment,
  request: KeyedRequest,
  lifetime: RequestLifetime,
): Promise<ClaimDecision> {
  lifetime.markSent();
  const decision = await environment.claims.claim({
    key: {
      clientAccountId: request.clientAccountId,
      idempotencyKey: request.idempotencyKey,
    },
    contentSha256: request.contentSha256,
    attemptId: toId<AttemptId>(randomUUID()),
    deadlineAtMs: request.deadlineAtMs,
  }, lifetime.abortSignal);
  lifetime.markNotSent();
  return decision;
}

function toResult(
  decision: Exclude<ClaimDecision, { kind: "held" }>,
  lifetime: RequestLifetime,
): PipelineResult {
  switch (decision.kind) {
    case "answered":
      return { kind: "repeated", answer: decision.answer };
    case "outcomeUnknown":
      return {
        kind: "refused",
        reason: "outcomeUnknown",
        detail: "An earlier request with this key may have run",
        notRun: false,
      };
    case "otherContent":
      return refuse(lifetime, {
        reason: "keyReusedWithOtherContent",
        detail: "The key was used for another pipeline or body",
      });
    case "unavailable":
      return refuse(lifetime, {
        reason: "claimsUnavailable",
        detail: decision.detail,
        retryAfterMs: decision.retryAfterMs,
      });
  }
}

function toClaimOutcome(result: PipelineResult): ClaimOutcome {
  switch (result.kind) {
    case "answered":
      return { kind: "answered", answer: toRecordedAnswer(result.answer) };
    case "repeated":
      return { kind: "answered", answer: result.answer };
    case "refused":
      return { kind: result.notRun ? "notRun" : "unknown" };
  }
}

async function recordOutcome(
  environment: PipelineEnvironment,
  claim: HeldClaim,
  outcome: ClaimOutcome,
): Promise<void> {
  const isRecorded = await environment.claims.recordOutcome(claim, outcome);
  if (isRecorded) return;
  environment.metrics.countEvent("claimOutcomeLate");
  environment.logger.warn("claimOutcomeLate", { outcome: outcome.kind });
}
