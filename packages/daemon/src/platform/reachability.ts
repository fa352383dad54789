/**
 * Whether the platform answered lately.
 *
 * @module
 */

/** After this time without a call the platform counts as worth a try again. */
const FORGET_FAILURE_MS = 5000;

/** Remembers the last answered and the last failed call. */
export class Reachability {
  #failedAtMs: number | undefined;

  noteAnswer(): void {
    this.#failedAtMs = undefined;
  }

  noteFailure(nowMs: number): void {
    this.#failedAtMs = nowMs;
  }

  /** False for a while after a failure, until a later call is answered. */
  isReachable(nowMs: number): boolean {
    if (this.#failedAtMs === undefined) return true;
    return nowMs - this.#failedAtMs > FORGET_FAILURE_MS;
  }
}
