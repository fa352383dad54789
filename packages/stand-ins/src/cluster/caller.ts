/**
 * A client of the pipeline API.
 *
 * @module
 */

import type { Problem } from "@sassafrasstage/protocol/problems";
import { Agent, type Dispatcher, errors, request } from "undici";
import { readServerSentEvents } from "./server_sent_events.js";

export interface StageReport {
  readonly stage: string;
  readonly service: string;
  readonly backendServerId: string;
  readonly dataCentre: string;
  readonly attempts: number;
  readonly durationMs: number;
}

/** The body of a successful answer. */
export interface PipelineAnswer {
  readonly requestId: string;
  readonly pipeline: string;
  readonly output: unknown;
  readonly stages: readonly StageReport[];
  readonly totalMs: number;
}

export interface PipelineCall {
  readonly pipeline: string;
  readonly key: string;
  readonly input: unknown;
  readonly idempotencyKey?: string;
  readonly deadlineMs?: number;
  readonly isStreamed?: boolean;
  readonly signal?: AbortSignal;
}

export type PipelineResult =
  | {
    readonly kind: "answer";
    readonly answer: PipelineAnswer;
    /** The body as received; for a stream, the data of its `answer` event. */
    readonly text: string;
    /** Tokens of a streamed answer after its last `restart` event. */
    readonly tokens: readonly string[];
    readonly latencyMs: number;
    readonly firstTokenMs?: number;
  }
  | {
    readonly kind: "problem";
    readonly status: number;
    readonly problem: Problem;
    readonly latencyMs: number;
  }
  /** No connection was established, so nothing was sent. */
  | { readonly kind: "notConnected"; readonly latencyMs: number }
  /** The connection was closed before the answer was complete. */
  | {
    readonly kind: "broken";
    readonly message: string;
    readonly latencyMs: number;
  };

/**
 * Sends pipeline requests to daemons.
 *
 * @example
 * ```ts
 * const caller = new Caller();
 * await caller.send(url, { pipeline: "lookup", key: "k", input: "text" });
 * await caller.close();
 * ```
 */
export class Caller {
  readonly #agent = new Agent({
    connections: null,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  /** Sends a request. Never rejects; failures are part of the result. */
  async send(url: string, call: PipelineCall): Promise<PipelineResult> {
    const startedAtMs = performance.now();
    function elapsed(): number {
      return performance.now() - startedAtMs;
    }
    try {
      const response = await this.#request(url, call);
      const contentType = String(response.headers["content-type"] ?? "");
      if (contentType.startsWith("text/event-stream")) {
        return await readStream(response, elapsed);
      }
      return await readBufferedResponse(response, elapsed);
    } catch (error) {
      return describeFailure(error, elapsed());
    }
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #request(
    url: string,
    call: PipelineCall,
  ): Promise<Dispatcher.ResponseData> {
    const headers: Record<string, string> = {
      authorization: `Bearer ${call.key}`,
      "content-type": "application/json",
    };
    if (call.idempotencyKey !== undefined) {
      headers["idempotency-key"] = call.idempotencyKey;
    }
    if (call.deadlineMs !== undefined) {
      headers["deadline-ms"] = String(call.deadlineMs);
    }
    if (call.isStreamed === true) headers["accept"] = "text/event-stream";
    const body = { input: call.input, stream: call.isStreamed ?? false };
    return request(`${url}/v1/pipelines/${call.pipeline}`, {
      method: "POST",
      headers,
      body: JSON.stringify(body),
      dispatcher: this.#agent,
      signal: call.signal ?? null,
    });
  }
}

async function readBufferedResponse(
  response: Dispatcher.ResponseData,
  elapsed: () => number,
): Promise<PipelineResult> {
  const text = await response.body.text();
  if (response.statusCode === 200) {
    const answer = JSON.parse(text) as PipelineAnswer;
    return { kind: "answer", answer, text, tokens: [], latencyMs: elapsed() };
  }
  return {
    kind: "problem",
    status: response.statusCode,
    problem: parseProblem(text, response.statusCode),
    latencyMs: elapsed(),
  };
}

async function readStream(
  response: Dispatcher.ResponseData,
  elapsed: () => number,
): Promise<PipelineResult> {
  const tokens: string[] = [];
  let firstTokenMs: number | undefined;
  for await (const event of readServerSentEvents(response.body)) {
    if (event.name === "token") {
      firstTokenMs ??= elapsed();
      tokens.push((JSON.parse(event.data) as { text: string }).text);
    } else if (event.name === "restart") {
      tokens.length = 0;
    } else if (event.name === "answer") {
      return {
        kind: "answer",
        answer: JSON.parse(event.data) as PipelineAnswer,
        text: event.data,
        tokens,
        latencyMs: elapsed(),
        ...(firstTokenMs === undefined ? {} : { firstTokenMs }),
      };
    } else if (event.name === "problem") {
      const problem = JSON.parse(event.data) as Problem;
      return {
        kind: "problem",
        status: problem.status,
        problem,
        latencyMs: elapsed(),
      };
    }
  }
  return {
    kind: "broken",
    message: "The stream ended before an answer or a problem",
    latencyMs: elapsed(),
  };
}

/**
 * Parses the body of a refusal. If it isn't a problem document, the result is an
 * internal error that says the request may have run (`notRun: false`).
 */
function parseProblem(text: string, status: number): Problem {
  try {
    return JSON.parse(text) as Problem;
  } catch {
    return {
      type: "about:blank",
      title: "Unreadable",
      status,
      detail: text,
      reason: "internalError",
      notRun: false,
    };
  }
}

function describeFailure(error: unknown, latencyMs: number): PipelineResult {
  const code = (error as NodeJS.ErrnoException).code;
  const isNotConnected = code === "ECONNREFUSED" ||
    error instanceof errors.ConnectTimeoutError;
  if (isNotConnected) return { kind: "notConnected", latencyMs };
  const message = error instanceof Error ? error.message : String(error);
  return { kind: "broken", message, latencyMs };
}
