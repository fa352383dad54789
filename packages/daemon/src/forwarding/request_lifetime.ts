/**
 * Lifetime of a request: it ends when the client disconnects, the time limit is
 * reached, or this process exits.
 *
 * @module
 */

import type { Clock } from "../clock.js";

export type LifetimeEnd =
  | "clientGone"
  | "timeUp"
  /** This process is exiting; requests that haven't run won't run here. */
  | "processEnding";

export interface RequestLifetimeOptions {
  readonly endsAtMs: number;
  readonly clock: Clock;
}

/** One per request; `close` must be called once the request has ended. */
export class RequestLifetime {
  readonly endsAtMs: number;
  readonly #clock: Clock;
  readonly #timer: NodeJS.Timeout;
  readonly #listeners = new Set<(end: LifetimeEnd) => void>();
  #end: LifetimeEnd | undefined;

  constructor(options: RequestLifetimeOptions) {
    this.endsAtMs = options.endsAtMs;
    this.#clock = options.clock;
    this.#timer = setTimeout(() => {
      this.#finish("timeUp");
    }, Math.max(0, options.endsAtMs - options.clock.nowMs()));
  }

  /** Why the lifetime ended; undefined while the request is active. */
  get end(): LifetimeEnd | undefined {
    return this.#end;
  }

  remainingMs(): number {
    return this.endsAtMs - this.#clock.nowMs();
  }

  endForClientDisconnect(): void {
    this.#finish("clientGone");
  }

  endForProcessExit(): void {
    this.#finish("processEnding");
  }

  /**
   * Calls the listener immediately if the lifetime has already ended.
   *
   * @returns A function that removes the listener
   */
  onEnd(listener: (end: LifetimeEnd) => void): () => void {
    if (this.#end !== undefined) {
      listener(this.#end);
      return () => undefined;
    }
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  close(): void {
    clearTimeout(this.#timer);
    this.#listeners.clear();
  }

  #finish(end: LifetimeEnd): void {
    if (this.#end !== undefined) return;
    this.#end = end;
    clearTimeout(this.#timer);
    const listeners = [...this.#listeners];
    this.#listeners.clear();
    for (const listener of listeners) listener(end);
  }
}
