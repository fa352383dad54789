/**
 * Lifetime of a request: until its deadline or its caller's disconnect.
 *
 * @module
 */

import { CallTimeoutError } from "../call_timeout_error.js";

export interface RequestLifetimeOptions {
  /** Time left until the deadline. */
  readonly remainingMs: number;
  readonly callerSignal: AbortSignal;
}

/**
 * Provides two signals: one for the deadline alone, and one that also aborts when
 * the caller disconnects. Tracks whether a non-idempotent call may have been sent.
 *
 * @example
 * ```ts
 * const lifetime = new RequestLifetime({ remainingMs: 5000, callerSignal });
 * try { await work(lifetime.abortSignal); } finally { lifetime.end(); }
 * ```
 */
export class RequestLifetime {
  readonly deadlineSignal: AbortSignal;
  /** Aborts at the deadline or when the caller disconnects. */
  readonly abortSignal: AbortSignal;
  readonly #timer: NodeJS.Timeout;
  /** Number of non-idempotent calls that may have run. */
  #possibleRuns = 0;

  constructor(options: RequestLifetimeOptions) {
    const deadline = new AbortController();
    this.deadlineSignal = deadline.signal;
    this.abortSignal = AbortSignal.any([
      deadline.signal,
      options.callerSignal,
    ]);
    this.#timer = setTimeout(() => {
      deadline.abort(new CallTimeoutError("The deadline has passed"));
    }, options.remainingMs);
  }

  /** Whether a non-idempotent call of the request may have run. */
  get mayHaveRun(): boolean {
    return this.#possibleRuns > 0;
  }

  /** Must be called before the first byte of a non-idempotent call is sent. */
  markSent(): void {
    this.#possibleRuns += 1;
  }

  /**
   * Must be called when that call is known not to have been sent. Earlier calls
   * of the request still count.
   */
  markNotSent(): void {
    this.#possibleRuns -= 1;
  }

  end(): void {
    clearTimeout(this.#timer);
  }
}
