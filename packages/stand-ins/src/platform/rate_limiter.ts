/**
 * Counts calls in windows of a second.
 *
 * @module
 */

const WINDOW_MS = 1000;

/** Lets at most a given number of calls through in each second. */
export class RateLimiter {
  #windowStartMs = 0;
  #count = 0;

  /** Whether this call is within the limit; a limit of 0 lets all through. */
  tryCount(nowMs: number, maxPerSecond: number): boolean {
    if (nowMs - this.#windowStartMs >= WINDOW_MS) {
      this.#windowStartMs = nowMs;
      this.#count = 0;
    }
    this.#count++;
    return maxPerSecond === 0 || this.#count <= maxPerSecond;
  }
}
