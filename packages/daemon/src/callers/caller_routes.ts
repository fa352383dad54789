/**
 * The caller API: `POST /v1/pipelines/{pipeline}`.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import type { ServerResponse } from "node:http";
import {
  makeProblem,
  type Problem,
  type ProblemReason,
} from "@sassafrasstage/protocol/problems";
import { type RequestId, toId } from "@sassafrasstage/protocol/ids";
import type restana from "restana";
import type { ConfigurationSource } from "../configuration/configuration_source.js";
import { readBody } from "../http/read_body.js";
import { sendProblem } from "../http/send_problem.js";
import type { PipelineEnvironment } from "../pipelines/pipeline_environment.js";
import type {
  PipelineRequest,
  PipelineResult,
  Refusal,
} from "../pipelines/pipeline_request.js";
import { startPipeline } from "../pipelines/run_pipeline.js";
import { AnswerStream } from "./answer_stream.js";
import {
  type ParsedRequest,
  parsePipelineRequest,
} from "./parse_pipeline_request.js";
import type { RequestsInFlight } from "./requests_in_flight.js";

const NOT_READY_RETRY_AFTER_MS = 1000;

export type HttpService = restana.Service<restana.Protocol.HTTP>;
type HttpRequest = restana.Request<restana.Protocol.HTTP>;

export interface CallerRoutesOptions {
  readonly environment: PipelineEnvironment;
  readonly configuration: ConfigurationSource;
  readonly inFlight: RequestsInFlight;
  readonly maxBodyBytes: number;
  /** True once new requests must be refused. */
  readonly isRefusingRequests: () => boolean;
}

/**
 * Adds the caller API routes to a server.
 *
 * @example
 * ```ts
 * addCallerRoutes(service, { environment, configuration, inFlight, maxBodyBytes, isRefusingRequests });
 * ```
 */
export function addCallerRoutes(
  service: HttpService,
  options: CallerRoutesOptions,
): void {
  service.post("/v1/pipelines/:pipeline", (request, response) => {
    const work = handleRequest(options, request, response);
    options.inFlight.track(work);
    return work;
  });
}

async function handleRequest(
  options: CallerRoutesOptions,
  request: HttpRequest,
  response: ServerResponse,
): Promise<void> {
  const receivedAtMs = options.environment.clock.nowMs();
  const body = await readBody(request, options.maxBodyBytes);
  if (body.kind === "broken") return;
  if (body.kind === "tooLarge") {
    response.setHeader("connection", "close");
    refuseNotRun(options, response, {
      reason: "bodyTooLarge",
      detail: `Expected at most ${options.maxBodyBytes} bytes`,
    });
    return;
  }
  const configuration = options.configuration.current();
  if (configuration === undefined || options.isRefusingRequests()) {
    refuseNotRun(options, response, {
      reason: configuration === undefined ? "notReady" : "shuttingDown",
      detail: "This VM takes no requests now",
      retryAfterMs: NOT_READY_RETRY_AFTER_MS,
    });
    return;
  }
  const parsed = parsePipelineRequest(configuration, {
    pipelineName: request.params["pipeline"] ?? "",
    headers: request.headers,
    body: body.text,
  });
  if (parsed.kind === "bad") {
    refuseNotRun(options, response, parsed);
    return;
  }
  const stream = parsed.isStream ? new AnswerStream(response) : undefined;
  const pipelineRequest: PipelineRequest = {
    ...parsed,
    requestId: toId<RequestId>(randomUUID()),
    configuration,
    receivedAtMs,
    deadlineAtMs: receivedAtMs + parsed.deadlineMs,
    callerSignal: makeDisconnectSignal(response),
    ...(stream === undefined ? {} : { listener: stream }),
  };
  await answerRequest(options, { parsed, pipelineRequest, response, stream });
}

interface RequestContext {
  readonly parsed: ParsedRequest;
  readonly pipelineRequest: PipelineRequest;
  readonly response: ServerResponse;
  readonly stream: AnswerStream | undefined;
}

async function answerRequest(
  options: CallerRoutesOptions,
  context: RequestContext,
): Promise<void> {
  const { environment } = options;
  const running = startPipeline(environment, context.pipelineRequest);
  options.inFlight.track(running.finished);
  const result = await running.result;
  const totalMs = environment.clock.nowMs() -
    context.pipelineRequest.receivedAtMs;
  const pipeline = context.parsed.pipeline.name;
  if (result.kind !== "refused") {
    environment.metrics.countResponse(
      pipeline,
      totalMs <= context.parsed.deadlineMs,
    );
  }
  environment.latencies.record({
    pipeline,
    stage: "whole",
    durationMs: totalMs,
    callMs: totalMs,
    tokens: 0,
  });
  sendResult(options, context, result);
}

function sendResult(
  options: CallerRoutesOptions,
  context: RequestContext,
  result: PipelineResult,
): void {
  const { response, stream } = context;
  switch (result.kind) {
    case "answered": {
      const json = JSON.stringify(result.answer);
      if (stream === undefined) sendJson(response, json);
      else stream.finish(json);
      return;
    }
    case "repeated":
      response.setHeader("idempotency-replayed", "true");
      if (stream === undefined) sendJson(response, result.answer.body);
      else stream.finish(result.answer.body);
      return;
    case "refused": {
      const problem = toProblem(result);
      options.environment.metrics.countRefusal(result.reason);
      if (stream?.isStarted === true) stream.fail(problem);
      else sendProblem(response, problem);
      return;
    }
  }
}

function sendJson(response: ServerResponse, json: string): void {
  if (response.destroyed) return;
  response.setHeader("content-type", "application/json");
  response.end(json);
}

function toProblem(refusal: Refusal): Problem {
  const { detail, notRun, retryAfterMs } = refusal;
  return makeProblem(refusal.reason, {
    detail,
    notRun,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  });
}

interface NotRunRefusal {
  readonly reason: ProblemReason;
  readonly detail: string;
  readonly retryAfterMs?: number;
}

function refuseNotRun(
  options: CallerRoutesOptions,
  response: ServerResponse,
  refusal: NotRunRefusal,
): void {
  const { reason, detail, retryAfterMs } = refusal;
  options.environment.metrics.countRefusal(reason);
  const problem = makeProblem(reason, {
    detail,
    notRun: true,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  });
  sendProblem(response, problem);
}

function makeDisconnectSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.once("close", () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
}
