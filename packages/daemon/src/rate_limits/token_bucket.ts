/**
 * Token bucket whose rate may change between calls.
 *
 * @module
 */

/** Requests that may be sent at once after a time with fewer requests. */
const MIN_CAPACITY = 2;
/** Time within which the bucket fills up at a high rate. */
const CAPACITY_MS = 250;
const MS_PER_SECOND = 1000;

export type TokenRequestResult =
  | { readonly kind: "taken" }
  | { readonly kind: "empty"; readonly availableInMs: number };

/** Starts empty, as the tokens given out by a former owner are not known. */
export class TokenBucket {
  #tokens = 0;
  #updatedAtMs: number;

  constructor(nowMs: number) {
    this.#updatedAtMs = nowMs;
  }

  /**
   * Takes one token if there is one.
   *
   * @example
   * ```ts
   * const result = bucket.take(2.5, nowMs);
   * if (result.kind === "empty") retryAfter(result.availableInMs);
   * ```
   */
  take(ratePerSecond: number, nowMs: number): TokenRequestResult {
    const ratePerMs = ratePerSecond / MS_PER_SECOND;
    const capacity = Math.max(MIN_CAPACITY, ratePerMs * CAPACITY_MS);
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
    this.#tokens = Math.min(capacity, this.#tokens + elapsedMs * ratePerMs);
    this.#updatedAtMs = nowMs;
    if (this.#tokens < 1) {
      return { kind: "empty", availableInMs: (1 - this.#tokens) / ratePerMs };
    }
    this.#tokens -= 1;
    return { kind: "taken" };
  }
}
