/**
 * Streams one answer as server-sent events.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { Problem } from "@sassafrasstage/protocol/problems";
import type { AnswerListener } from "../pipelines/pipeline_request.js";

/**
 * Events: `token` for each piece of text, `restart` if the text streamed so far
 * must be discarded, and finally one `answer` or one `problem`.
 *
 * @example
 * ```ts
 * const stream = new AnswerStream(response);
 * stream.finish(JSON.stringify(answer));
 * ```
 */
export class AnswerStream implements AnswerListener {
  readonly #response: ServerResponse;
  #tokens = 0;
  #isEnded = false;

  constructor(response: ServerResponse) {
    this.#response = response;
  }

  onToken(text: string): void {
    this.#tokens += 1;
    this.#write("token", JSON.stringify({ text }));
  }

  onRestart(): void {
    if (this.#tokens === 0) return;
    this.#tokens = 0;
    this.#write("restart", "{}");
  }

  /** Ends the stream with the complete answer, given as JSON. */
  finish(answerJson: string): void {
    this.#write("answer", answerJson);
    this.#end();
  }

  fail(problem: Problem): void {
    this.#write("problem", JSON.stringify(problem));
    this.#end();
  }

  /** True once the status line has been sent. */
  get isStarted(): boolean {
    return this.#response.headersSent;
  }

  #write(event: string, data: string): void {
    if (this.#isEnded || this.#response.destroyed) return;
    if (!this.#response.headersSent) {
      this.#response.writeHead(200, {
        "content-type": "text/event-stream",
        "cache-control": "no-store",
      });
    }
    this.#response.write(`event: ${event}\ndata: ${data}\n\n`);
  }

  #end(): void {
    this.#isEnded = true;
    this.#response.end();
  }
}
