/**
 * Adapter for plain services: JSON over HTTP.
 *
 * @module
 */

import { type Dispatcher, request } from "undici";
import { z } from "zod";
import {
  failureFromError,
  failureFromStatus,
  failureFromWrongId,
} from "./call_failure.js";
import { withStartCheck } from "./start_check.js";
import type { CallResult, StageCall, StageCaller } from "./stage_call.js";

const answerSchema = z.object({
  requestId: z.string(),
  output: z.unknown(),
});

/**
 * Calls `POST {url}/v1/{operation}` and checks that the response echoes the
 * attempt's id.
 *
 * @example
 * ```ts
 * const result = await new PlainServiceCaller(agent).call(call, signal);
 * ```
 */
export class PlainServiceCaller implements StageCaller {
  readonly #dispatcher: Dispatcher;

  constructor(dispatcher: Dispatcher) {
    this.#dispatcher = dispatcher;
  }

  async call(call: StageCall, signal: AbortSignal): Promise<CallResult> {
    try {
      return await this.#send(call, signal);
    } catch (error) {
      return failureFromError(error, signal);
    }
  }

  async #send(call: StageCall, signal: AbortSignal): Promise<CallResult> {
    const response = await request(`${call.url}/v1/${call.operation}`, {
      dispatcher: withStartCheck(this.#dispatcher, call.mayStart),
      method: "POST",
      headers: makeHeaders(call),
      body: JSON.stringify({ input: call.input }),
      signal,
    });
    if (response.statusCode !== 200) {
      await response.body.dump();
      return failureFromStatus(response.statusCode);
    }
    const answer = answerSchema.parse(await response.body.json());
    if (answer.requestId !== call.attemptId) {
      return failureFromWrongId(answer.requestId);
    }
    return { kind: "completed", output: answer.output };
  }
}

function makeHeaders(call: StageCall): Record<string, string> {
  const headers: Record<string, string> = {
    "content-type": "application/json",
    "x-request-id": call.attemptId,
  };
  if (call.idempotencyKey !== undefined) {
    headers["idempotency-key"] = call.idempotencyKey;
  }
  return headers;
}
