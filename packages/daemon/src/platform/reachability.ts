/**
 * Tracks whether the platform is reachable.
 *
 * @module
 */

/** Time after a failure until callers may try the platform again. */
const FAILURE_EXPIRY_MS = 5000;

/** Derives reachability from the results of recent calls. */
export class Reachability {
  #failedAtMs: number | undefined;

  recordSuccess(): void {
    this.#failedAtMs = undefined;
  }

  recordFailure(nowMs: number): void {
    this.#failedAtMs = nowMs;
  }

  /** False for some time after a failure, unless a later call succeeds. */
  isReachable(nowMs: number): boolean {
    if (this.#failedAtMs === undefined) return true;
    return nowMs - this.#failedAtMs > FAILURE_EXPIRY_MS;
  }
}
