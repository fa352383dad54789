/**
 * Client channel that sends at most one answer.
 *
 * @module
 */

import type {
  ClientChannel,
  ClientResponseHead,
  LocalReply,
} from "./routed_request.js";

export type AnswerState =
  /** Nothing was sent. */
  | "none"
  /** A head was sent, and its body isn't complete. */
  | "begun"
  | "complete"
  /** The client sees an incomplete response, or no response. */
  | "aborted";

/** Passes the first answer on; one channel per request. */
export class SingleAnswerChannel implements ClientChannel {
  readonly #channel: ClientChannel;
  readonly #onRepeatedAnswer: () => void;
  #state: AnswerState = "none";

  /** @param onRepeatedAnswer Called when another answer is dropped */
  constructor(channel: ClientChannel, onRepeatedAnswer: () => void) {
    this.#channel = channel;
    this.#onRepeatedAnswer = onRepeatedAnswer;
  }

  get state(): AnswerState {
    return this.#state;
  }

  get isClosed(): boolean {
    return this.#channel.isClosed;
  }

  get backlogBytes(): number {
    return this.#channel.backlogBytes;
  }

  onClosed(listener: () => void): void {
    this.#channel.onClosed(listener);
  }

  writeHead(head: ClientResponseHead): void {
    if (this.#state !== "none") {
      this.#dropAnswer();
      return;
    }
    // The state stays the same if the head is invalid.
    this.#channel.writeHead(head);
    this.#state = "begun";
  }

  write(chunk: Buffer): void {
    if (this.#state === "begun") this.#channel.write(chunk);
  }

  end(): void {
    if (this.#state !== "begun") return;
    this.#state = "complete";
    this.#channel.end();
  }

  abort(): void {
    if (this.#state === "complete" || this.#state === "aborted") return;
    this.#state = "aborted";
    this.#channel.abort();
  }

  sendLocalReply(reply: LocalReply): void {
    if (this.#state !== "none") {
      this.#dropAnswer();
      return;
    }
    this.#channel.sendLocalReply(reply);
    this.#state = "complete";
  }

  /** The body of another answer must not complete one that has begun. */
  #dropAnswer(): void {
    this.#onRepeatedAnswer();
    this.abort();
  }
}
