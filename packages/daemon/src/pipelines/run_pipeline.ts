/**
 * Runs one request through all stages of its pipeline.
 *
 * @module
 */

import type { ClaimOutcome } from "@sassafrasstage/protocol/claims";
import { randomUUID } from "node:crypto";
import { type AttemptId, toId } from "@sassafrasstage/protocol/ids";
import type { Service } from "@sassafrasstage/protocol/register";
import type { Stage } from "@sassafrasstage/protocol/rules";
import { indexOf } from "../configuration/configuration_index.js";
import type { ClaimDecision, HeldClaim } from "../claims/claim_keeper.js";
import type { PipelineEnvironment } from "./pipeline_environment.js";
import {
  isNonIdempotent,
  type PipelineAnswer,
  type PipelineRequest,
  type PipelineResult,
  type Refusal,
  type StageReport,
} from "./pipeline_request.js";
import { refuse, refuseUnwanted } from "./refuse.js";
import { RequestLifetime } from "./request_lifetime.js";
import { runStage } from "./run_stage.js";
import type { StageResult, StageRun } from "./stage_run.js";
import { toRecordedAnswer } from "./recorded_answer.js";

/** The result for the caller, and the end of all work for the request. */
export interface RunningPipeline {
  readonly result: Promise<PipelineResult>;
  /** Later than the result where a non-idempotent call outlives the deadline. */
  readonly finished: Promise<void>;
}

/**
 * Starts a request. The caller gets its final result at the deadline at the
 * latest; a non-idempotent call in flight then still runs to its end, and its
 * outcome is recorded under the request's key.
 *
 * @example
 * ```ts
 * const running = startPipeline(environment, request);
 * const result = await running.result;
 * ```
 */
export function startPipeline(
  environment: PipelineEnvironment,
  request: PipelineRequest,
): RunningPipeline {
  const lifetime = new RequestLifetime({
    remainingMs: request.deadlineAtMs - environment.clock.nowMs(),
    callerSignal: request.callerSignal,
  });
  const work = runClaimed(environment, request, lifetime);
  const finished = work.then(() => undefined).finally(() => {
    lifetime.end();
  });
  const result = Promise.race([work, refuseWhenUnwanted(lifetime)]);
  return { result, finished };
}

function refuseWhenUnwanted(lifetime: RequestLifetime): Promise<Refusal> {
  return new Promise((resolve) => {
    lifetime.wantedSignal.addEventListener("abort", () => {
      resolve(refuseUnwanted(lifetime));
    }, { once: true });
  });
}

interface KeyedRequest extends PipelineRequest {
  readonly idempotencyKey: string;
}

function isKeyed(request: PipelineRequest): request is KeyedRequest {
  return request.idempotencyKey !== undefined;
}

async function runClaimed(
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
 * Until the claim is decided, an earlier request with the key may be running,
 * so that a deadline in between must not be answered with "not run".
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
  }, lifetime.wantedSignal);
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

async function runStages(
  environment: PipelineEnvironment,
  request: PipelineRequest,
  lifetime: RequestLifetime,
): Promise<PipelineResult> {
  const reports: StageReport[] = [];
  let previous: unknown;
  for (const stage of request.pipeline.stages) {
    const startedAtMs = environment.clock.nowMs();
    const run: StageRun = {
      request,
      lifetime,
      stage,
      service: findService(request, stage),
      input: reports.length === 0
        ? { input: request.input }
        : { input: request.input, previous },
    };
    const result = await runStage(environment, run);
    if (result.kind === "refused") return result;
    previous = result.call.output;
    const report = makeReport(run, result, {
      durationMs: environment.clock.nowMs() - startedAtMs,
    });
    reports.push(report);
    recordStage(environment, request, report);
  }
  return {
    kind: "answered",
    answer: makeAnswer(request, {
      output: previous,
      stages: reports,
      totalMs: environment.clock.nowMs() - request.receivedAtMs,
    }),
  };
}

function findService(request: PipelineRequest, stage: Stage): Service {
  const service = indexOf(request.configuration).services.get(stage.service);
  if (service === undefined) {
    throw new Error(`Service "${stage.service}" is absent from the register`);
  }
  return service;
}

function makeReport(
  run: StageRun,
  result: Extract<StageResult, { kind: "completed" }>,
  timing: { readonly durationMs: number },
): StageReport {
  const { tokens } = result.call;
  return {
    stage: run.stage.name,
    service: run.service.name,
    backendServerId: result.granted.permit.backendServerId,
    dataCentre: result.granted.permit.pool.dataCentre,
    attempts: result.attempts,
    durationMs: timing.durationMs,
    callMs: result.callMs,
    ...(tokens === undefined ? {} : { tokens }),
  };
}

function recordStage(
  environment: PipelineEnvironment,
  request: PipelineRequest,
  report: StageReport,
): void {
  const pipeline = request.pipeline.name;
  environment.estimates.record(
    { pipeline, stage: report.stage },
    report.callMs,
    environment.clock.nowMs(),
  );
  environment.latencies.record({
    pipeline,
    stage: report.stage,
    durationMs: report.durationMs,
    callMs: report.callMs,
    tokens: report.tokens ?? 0,
  });
}

function makeAnswer(
  request: PipelineRequest,
  outcome: Pick<PipelineAnswer, "output" | "stages" | "totalMs">,
): PipelineAnswer {
  return {
    requestId: request.requestId,
    pipeline: request.pipeline.name,
    ...outcome,
  };
}
