/**
 * Adapter for model engines: streaming completions over HTTP.
 *
 * @module
 */

import { createParser } from "eventsource-parser";
import { type Dispatcher, request } from "undici";
import { z } from "zod";
import type { Urgency } from "@sassafrasstage/protocol/rules";
import type { Clock } from "../clock.js";
import {
  failureFromError,
  failureFromStatus,
  failureFromWrongId,
} from "./call_failure.js";
import { withStartCheck } from "./start_check.js";
import type {
  CallResult,
  FailedCall,
  StageCall,
  StageCaller,
} from "./stage_call.js";

const END_OF_STREAM = "[DONE]";
const ENGINE_PRIORITY: Readonly<Record<Urgency, number>> = {
  counter: 0,
  deferrable: 10,
};

const chunkSchema = z.object({
  id: z.string(),
  choices: z.array(z.object({ text: z.string() })),
});

export interface ModelEngineCallerOptions {
  readonly dispatcher: Dispatcher;
  readonly clock: Clock;
}

/**
 * Calls `POST {url}/v1/completions` and reads the whole stream: every chunk
 * must carry the attempt's id, and the stream must end with `[DONE]`.
 *
 * @example
 * ```ts
 * const caller = new ModelEngineCaller({ dispatcher, clock });
 * const result = await caller.call(call, signal);
 * ```
 */
export class ModelEngineCaller implements StageCaller {
  readonly #dispatcher: Dispatcher;
  readonly #clock: Clock;

  constructor(options: ModelEngineCallerOptions) {
    this.#dispatcher = options.dispatcher;
    this.#clock = options.clock;
  }

  async call(call: StageCall, signal: AbortSignal): Promise<CallResult> {
    try {
      return await this.#send(call, signal);
    } catch (error) {
      return failureFromError(error, signal);
    }
  }

  async #send(call: StageCall, signal: AbortSignal): Promise<CallResult> {
    const startedAtMs = this.#clock.nowMs();
    const response = await request(`${call.url}/v1/completions`, {
      dispatcher: withStartCheck(this.#dispatcher, call.mayStart),
      method: "POST",
      headers: {
        "content-type": "application/json",
        "x-request-id": call.attemptId,
      },
      body: JSON.stringify(makeCompletionRequest(call)),
      signal,
    });
    if (response.statusCode !== 200) {
      await response.body.dump();
      return failureFromStatus(response.statusCode);
    }
    const reader = new CompletionReader(call, {
      clock: this.#clock,
      startedAtMs,
    });
    response.body.setEncoding("utf8");
    for await (const text of response.body) reader.feed(text as string);
    return reader.finish();
  }
}

function makeCompletionRequest(call: StageCall): Record<string, unknown> {
  const model = call.service.kind === "modelEngine" ? call.service.model : "";
  return {
    model,
    prompt: toPrompt(call.input),
    max_tokens: call.maxTokens,
    stream: true,
    priority: ENGINE_PRIORITY[call.urgency],
  };
}

function toPrompt(input: unknown): string {
  return typeof input === "string" ? input : JSON.stringify(input);
}

interface ReaderTiming {
  readonly clock: Clock;
  readonly startedAtMs: number;
}

/** Collects the text of one completion stream. */
class CompletionReader {
  readonly #call: StageCall;
  readonly #timing: ReaderTiming;
  readonly #parser = createParser({
    onEvent: (event) => {
      this.#handleData(event.data);
    },
  });
  #text = "";
  #tokens = 0;
  #firstTokenMs: number | undefined;
  #wrongId: string | undefined;
  #isEnded = false;

  constructor(call: StageCall, timing: ReaderTiming) {
    this.#call = call;
    this.#timing = timing;
  }

  feed(text: string): void {
    this.#parser.feed(text);
  }

  finish(): CallResult {
    if (this.#wrongId !== undefined) return failureFromWrongId(this.#wrongId);
    if (!this.#isEnded) return failureFromTruncatedStream(this.#tokens);
    return {
      kind: "completed",
      output: this.#text,
      firstTokenMs: this.#firstTokenMs ?? this.#elapsedMs(),
      tokens: this.#tokens,
    };
  }

  #elapsedMs(): number {
    return this.#timing.clock.nowMs() - this.#timing.startedAtMs;
  }

  #handleData(data: string): void {
    if (data === END_OF_STREAM) {
      this.#isEnded = true;
      return;
    }
    const chunk = chunkSchema.parse(JSON.parse(data));
    if (chunk.id !== this.#call.attemptId) {
      this.#wrongId = chunk.id;
      return;
    }
    const text = chunk.choices[0]?.text ?? "";
    if (text === "" || this.#wrongId !== undefined) return;
    if (this.#firstTokenMs === undefined) {
      this.#firstTokenMs = this.#elapsedMs();
      this.#call.onFirstToken?.(this.#firstTokenMs);
    }
    this.#tokens += 1;
    this.#text += text;
    this.#call.onToken?.(text);
  }
}

function failureFromTruncatedStream(tokens: number): FailedCall {
  return {
    kind: "failed",
    cause: "streamBroken",
    detail: `The stream ended after ${tokens} tokens without its end mark`,
    mayHaveRun: true,
  };
}
