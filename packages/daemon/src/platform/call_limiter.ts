/**
 * Limits the number of concurrent calls and the time that a call waits for a
 * slot.
 *
 * @module
 */

import { PlatformError } from "./platform_error.js";

/** Maximum number of queued calls per concurrent call. */
const MAX_WAITERS_PER_SLOT = 64;

export interface CallLimiterOptions {
  readonly maxInFlight: number;
  readonly maxWaitMs: number;
}

interface Waiter {
  readonly start: () => void;
}

/**
 * Starts calls in FIFO order. A call is rejected without being made when the
 * queue is full or the call waits for more than `maxWaitMs`.
 */
export class CallLimiter {
  readonly #options: CallLimiterOptions;
  readonly #waiters = new Set<Waiter>();
  #inFlight = 0;

  constructor(options: CallLimiterOptions) {
    this.#options = options;
  }

  /**
   * Runs the call as soon as a slot is free.
   *
   * @example
   * ```ts
   * const limiter = new CallLimiter({ maxInFlight: 16, maxWaitMs: 2000 });
   * const response = await limiter.run(() => request(url));
   * ```
   */
  async run<Result>(call: () => Promise<Result>): Promise<Result> {
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
    if (
      this.#waiters.size >= this.#options.maxInFlight * MAX_WAITERS_PER_SLOT
    ) {
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
