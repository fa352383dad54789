/**
 * How long a request is worked on: until its client is gone, its time is up, or
 * this process ends.
 *
 * @module
 */

import type { Clock } from "../clock.js";

export type LifetimeEnd =
  | "clientGone"
  | "timeUp"
  /** This process ends, and what hasn't run yet won't run here. */
  | "processEnding";

export interface RequestLifetimeOptions {
  readonly endsAtMs: number;
  readonly clock: Clock;
}

/** One for each request; `close` has to be called when it is answered. */
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

  /** Why it ended; undefined while it runs. */
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

  /** Calls at once if it has ended; returns a function that stops listening. */
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
