/**
 * Bounds how many calls are in flight at once, and how long one waits its turn.
 *
 * @module
 */

import { PlatformError } from "./platform_error.js";

/** Calls that may wait for each call that may be in flight. */
const WAITING_PER_SLOT = 64;

export interface CallLimiterOptions {
  readonly maxInFlight: number;
  readonly maxWaitMs: number;
}

interface Waiter {
  readonly start: () => void;
}

/** First come first served; a call that waits too long is not done. */
export class CallLimiter {
  readonly #options: CallLimiterOptions;
  readonly #waiters = new Set<Waiter>();
  #inFlight = 0;

  constructor(options: CallLimiterOptions) {
    this.#options = options;
  }

  /**
   * Runs the call when its turn comes.
   *
   * @example
   * ```ts
   * const limiter = new CallLimiter({ maxInFlight: 16, maxWaitMs: 2000 });
   * const answer = await limiter.run(() => request(url));
   * ```
   */
  async run<Answer>(call: () => Promise<Answer>): Promise<Answer> {
    await this.#acquire();
    try {
      return await call();
    } finally {
      this.#release();
    }
  }

  #acquire(): Promise<void> {
    if (this.#inFlight < this.#options.maxInFlight) {
      this.#inFlight += 1;
      return Promise.resolve();
    }
    if (this.#waiters.size >= this.#options.maxInFlight * WAITING_PER_SLOT) {
      return Promise.reject(
        new PlatformError("notDone", "Too many platform calls wait"),
      );
    }
    return this.#wait();
  }

  #wait(): Promise<void> {
    return new Promise((resolve, reject) => {
      const waiter: Waiter = {
        start: () => {
          clearTimeout(timer);
          resolve();
        },
      };
      const timer = setTimeout(() => {
        this.#waiters.delete(waiter);
        reject(
          new PlatformError("notDone", "The platform call waited too long"),
        );
      }, this.#options.maxWaitMs);
      this.#waiters.add(waiter);
    });
  }

  #release(): void {
    const [next] = this.#waiters;
    if (next === undefined) {
      this.#inFlight -= 1;
      return;
    }
    this.#waiters.delete(next);
    next.start();
  }
}
