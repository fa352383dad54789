/**
 * Records what a call's response states about the server's load, and measures
 * the call to learn the server's speed.
 *
 * Streams are measured by the pace of their events, as the time to the first
 * one depends on the prompt and on what the engine has cached of it.
 *
 * @module
 */

import type { ServerLoad } from "../server_load/server_load.js";
import type { AttemptInput } from "./attempt_input.js";
import type { ResponseHead } from "./server_caller.js";

/** Fewer events don't tell the pace of a stream. */
const MIN_EVENTS = 8;

export class CallDuration {
  readonly #input: AttemptInput;
  #sentAtMs: number | undefined;
  #load: ServerLoad | undefined;
  #firstEventAtMs = 0;
  #lastEventAtMs = 0;
  #eventCount = 0;

  constructor(input: AttemptInput) {
    this.#input = input;
  }

  recordSend(): void {
    this.#sentAtMs = this.#nowMs();
  }

  recordHead(head: ResponseHead): void {
    const { candidate, context } = this.#input;
    if (head.load === undefined) return;
    context.environment.directory.loads
      ?.record(candidate.server, head.load, context.request.attemptId);
    const isMeasured = head.load.kind === "stated" && head.isGenuine &&
      !head.isNotRun && head.status < 500;
    if (!isMeasured) return;
    if (this.#isStream()) this.#load = head.load.load;
    else if (this.#sentAtMs !== undefined) {
      this.#measure(head.load.load, this.#nowMs() - this.#sentAtMs);
    }
  }

  recordEvent(): void {
    if (this.#load === undefined) return;
    this.#lastEventAtMs = this.#nowMs();
    if (this.#eventCount === 0) this.#firstEventAtMs = this.#lastEventAtMs;
    this.#eventCount += 1;
  }

  recordEnd(): void {
    if (this.#load === undefined || this.#eventCount < MIN_EVENTS) return;
    const durationMs = this.#lastEventAtMs - this.#firstEventAtMs;
    this.#measure(this.#load, durationMs / (this.#eventCount - 1));
  }

  #measure(load: ServerLoad, durationMs: number): void {
    const { candidate, context } = this.#input;
    context.environment.directory.loads?.recordCall(candidate.server, {
      kind: context.route.name,
      durationMs,
      load,
    });
  }

  #isStream(): boolean {
    return this.#input.context.route.repeatability.kind === "stream";
  }

  #nowMs(): number {
    return this.#input.context.environment.clock.nowMs();
  }
}
