/**
 * Makes one call under a permit and releases the permit once the backend server
 * has finished the call.
 *
 * @module
 */

import type { AttemptId } from "@sassafrasstage/protocol/ids";
import {
  type CallResult,
  type FailedCall,
  type StageCall,
  toCallOutcome,
} from "../backend_servers/stage_call.js";
import { CallTimeoutError } from "../call_timeout_error.js";
import type { PipelineEnvironment } from "./pipeline_environment.js";
import type { FinishedCall, GrantedServer, StageRun } from "./stage_run.js";

/** Time after the deadline for which an uncancelable call may keep running. */
const MAX_OVERRUN_MS = 30_000;

export interface CallRequest {
  readonly run: StageRun;
  readonly attemptId: AttemptId;
  readonly granted: GrantedServer;
}

/**
 * Resolves when the call ends. An idempotent call also resolves as soon as the
 * request is aborted; warm engines then cancel the call. Plain services don't
 * notice a disconnected caller, and a cold engine doesn't show when a cancel has
 * taken effect, so those calls continue and hold their permits until they end.
 *
 * @example
 * ```ts
 * const finished = await runCall(environment, { run, attemptId, granted });
 * ```
 */
export async function runCall(
  environment: PipelineEnvironment,
  request: CallRequest,
): Promise<FinishedCall> {
  const { run } = request;
  const startedAtMs = environment.clock.nowMs();
  const limit = makeCallLimit(environment, request);
  const ended = environment.stageCaller.call(
    makeStageCall(environment, request),
    limit.signal,
  )
    .then((result) => {
      limit.clear();
      const callMs = environment.clock.nowMs() - startedAtMs;
      releasePermit(environment, request, { result, callMs });
      return result;
    });
  // The result of a non-idempotent call must be recorded even if it is late.
  const result = run.stage.idempotent
    ? await Promise.race([ended, failOnAbort(run.lifetime.abortSignal)])
    : await ended;
  return { result, callMs: environment.clock.nowMs() - startedAtMs };
}

interface CallLimit {
  readonly signal: AbortSignal;
  clear(): void;
}

function makeCallLimit(
  environment: PipelineEnvironment,
  request: CallRequest,
): CallLimit {
  const { run } = request;
  const overrun = new AbortController();
  const remainingMs = run.request.deadlineAtMs - environment.clock.nowMs();
  const timer = setTimeout(() => {
    overrun.abort(
      new CallTimeoutError("The call exceeded its maximum overrun"),
    );
  }, remainingMs + MAX_OVERRUN_MS);
  timer.unref();
  const isCancelable = run.service.kind === "modelEngine" &&
    run.stage.idempotent && request.granted.permit.warmUpState === "warm";
  const signal = isCancelable
    ? AbortSignal.any([overrun.signal, run.lifetime.abortSignal])
    : overrun.signal;
  return {
    signal,
    clear: () => {
      clearTimeout(timer);
    },
  };
}

function makeStageCall(
  environment: PipelineEnvironment,
  request: CallRequest,
): StageCall {
  const { run, granted, attemptId } = request;
  const { idempotencyKey, listener } = run.request;
  const isLastStage = run.request.pipeline.stages.at(-1) === run.stage;
  return {
    attemptId,
    service: run.service,
    url: granted.server.url,
    operation: run.stage.operation,
    input: run.input,
    maxTokens: run.stage.maxTokens,
    urgency: run.request.pipeline.urgency,
    mayStart: () =>
      environment.permits.isPermitValid(
        granted.permit,
        environment.clock.nowMs(),
      ),
    onFirstToken: (firstTokenMs) => {
      environment.permits.recordFirstToken(granted.permit, firstTokenMs);
    },
    ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
    ...(listener === undefined || !isLastStage ? {} : {
      onToken: (text: string) => {
        listener.onToken(text);
      },
    }),
  };
}

function releasePermit(
  environment: PipelineEnvironment,
  request: CallRequest,
  finished: FinishedCall,
): void {
  const { permit } = request.granted;
  const { result, callMs } = finished;
  environment.permits.release(permit, {
    permitId: permit.permitId,
    backendServerId: permit.backendServerId,
    outcome: toCallOutcome(result),
    durationMs: callMs,
    ...(result.kind === "completed" ? tokenFieldsOf(result) : {}),
  });
}

function tokenFieldsOf(
  result: Extract<CallResult, { kind: "completed" }>,
): { readonly firstTokenMs?: number; readonly tokens?: number } {
  return {
    ...(result.firstTokenMs === undefined
      ? {}
      : { firstTokenMs: result.firstTokenMs }),
    ...(result.tokens === undefined ? {} : { tokens: result.tokens }),
  };
}

function failOnAbort(signal: AbortSignal): Promise<FailedCall> {
  return new Promise((resolve) => {
    function finish(): void {
      const isTimeout = signal.reason instanceof CallTimeoutError;
      resolve({
        kind: "failed",
        cause: isTimeout ? "timedOut" : "canceled",
        detail: "The request was aborted before the call ended",
        mayHaveRun: true,
      });
    }
    if (signal.aborted) finish();
    else signal.addEventListener("abort", finish, { once: true });
  });
}
