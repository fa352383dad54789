/**
 * Sends one request to the pipeline API as a caller does.
 *
 * @module
 */

import { PROBLEM_REASONS } from "@sassafrasstage/protocol/problems";
import {
  readServerSentEvents,
  type ServerSentEvent,
} from "@sassafrasstage/stand-ins/cluster/server_sent_events";
import { type Dispatcher, request } from "undici";
import { z } from "zod";
import type { StageRecord } from "./load_record.js";

export interface PipelineCall {
  /** URL of the entry VM, "http://host:port". */
  readonly baseUrl: string;
  readonly pipeline: string;
  readonly key: string;
  readonly input: unknown;
  readonly deadlineMs?: number;
  readonly idempotencyKey?: string;
  readonly stream?: boolean;
  /** Called with the data of each `token` event, the JSON of `{text}`. */
  readonly onToken?: (data: string) => void;
}

export interface PipelineAnswer {
  readonly kind: "answer";
  readonly requestId: string;
  readonly output: unknown;
  readonly stages: readonly StageRecord[];
  readonly totalMs: number;
}

export interface PipelineProblem {
  readonly kind: "problem";
  readonly status: number;
  readonly reason: (typeof PROBLEM_REASONS)[number] | "unreadable";
  readonly notRun: boolean;
  readonly detail: string;
}

export type PipelineReply = PipelineAnswer | PipelineProblem;

export interface PipelineCallOptions {
  readonly dispatcher: Dispatcher;
  readonly signal: AbortSignal;
}

/** The stream ended without an `answer` or `problem` event. */
export class BrokenAnswerError extends Error {
  override readonly name = "BrokenAnswerError";
}

const answerSchema = z.object({
  requestId: z.string(),
  output: z.unknown(),
  stages: z.array(z.object({
    stage: z.string(),
    service: z.string(),
    backendServerId: z.string(),
    dataCentre: z.string(),
    attempts: z.number(),
    durationMs: z.number(),
  })),
  totalMs: z.number(),
});

const problemSchema = z.object({
  status: z.number(),
  reason: z.enum(PROBLEM_REASONS),
  notRun: z.boolean(),
  detail: z.string(),
});

/**
 * Sends one request and reads the complete reply. Rejects when the connection
 * fails, the signal is aborted or a stream ends early.
 *
 * @example
 * ```ts
 * const reply = await callPipeline(call, { dispatcher, signal });
 * if (reply.kind === "problem") console.error(reply.reason);
 * ```
 */
export async function callPipeline(
  call: PipelineCall,
  options: PipelineCallOptions,
): Promise<PipelineReply> {
  const response = await request(
    `${call.baseUrl}/v1/pipelines/${call.pipeline}`,
    {
      ...options,
      method: "POST",
      headers: makeHeaders(call),
      body: JSON.stringify({ input: call.input, stream: call.stream ?? false }),
    },
  );
  const type = String(response.headers["content-type"]);
  if (type.startsWith("text/event-stream")) {
    return readStream(call, response.body);
  }
  const body = await response.body.text();
  return response.statusCode === 200
    ? readAnswer(body)
    : readProblem(body, response.statusCode);
}

function makeHeaders(call: PipelineCall): Record<string, string> {
  const headers: Record<string, string> = {
    "authorization": `Bearer ${call.key}`,
    "content-type": "application/json",
  };
  if (call.deadlineMs !== undefined) {
    headers["deadline-ms"] = String(call.deadlineMs);
  }
  if (call.idempotencyKey !== undefined) {
    headers["idempotency-key"] = call.idempotencyKey;
  }
  return headers;
}

async function readStream(
  call: PipelineCall,
  body: Dispatcher.ResponseData["body"],
): Promise<PipelineReply> {
  let reply: PipelineReply | undefined;
  for await (const event of readServerSentEvents(body)) {
    reply = handleEvent(call, event) ?? reply;
  }
  if (reply === undefined) {
    throw new BrokenAnswerError(
      "The stream ended without an answer or problem event",
    );
  }
  return reply;
}

function handleEvent(
  call: PipelineCall,
  event: ServerSentEvent,
): PipelineReply | undefined {
  switch (event.name) {
    case "token":
      call.onToken?.(event.data);
      return undefined;
    case "answer":
      return readAnswer(event.data);
    case "problem":
      return readProblem(event.data, 200);
    default:
      return undefined;
  }
}

function readAnswer(body: string): PipelineReply {
  const parsed = answerSchema.safeParse(JSON.parse(body));
  if (!parsed.success) return makeUnreadableProblem(body, 200);
  return { kind: "answer", ...parsed.data };
}

function readProblem(body: string, status: number): PipelineReply {
  try {
    return { kind: "problem", ...problemSchema.parse(JSON.parse(body)) };
  } catch {
    return makeUnreadableProblem(body, status);
  }
}

function makeUnreadableProblem(body: string, status: number): PipelineProblem {
  return {
    kind: "problem",
    status,
    reason: "unreadable",
    notRun: false,
    detail: body.slice(0, 200),
  };
}
