/**
 * A fixed-window rate limiter with windows of one second.
 *
 * @module
 */

const WINDOW_MS = 1000;

/** Limits the number of calls in each second. */
export class RateLimiter {
  #windowStartMs = 0;
  #count = 0;

  /** Counts a call and returns whether it is allowed; 0 means no limit. */
  tryAcquire(nowMs: number, maxPerSecond: number): boolean {
    if (nowMs - this.#windowStartMs >= WINDOW_MS) {
      this.#windowStartMs = nowMs;
      this.#count = 0;
    }
    this.#count++;
    return maxPerSecond === 0 || this.#count <= maxPerSecond;
  }
}
