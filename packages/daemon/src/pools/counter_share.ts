/**
 * The fraction of a pool's slots that requests of urgency `counter` use.
 *
 * Counter requests are served first, so deferrable requests can expect only the
 * slots that counter requests have recently left free.
 *
 * @module
 */

/** Aged deferrable work gets this fraction even under full counter load. */
const MIN_DEFERRABLE_FRACTION = 0.25;
const WINDOW_MS = 1000;

/** The fraction, smoothed exponentially with a time constant of one second. */
export class CounterShare {
  #counterFraction = 0;
  #updatedAtMs = 0;

  update(currentFraction: number, nowMs: number): void {
    const weight = Math.min(1, (nowMs - this.#updatedAtMs) / WINDOW_MS);
    this.#counterFraction += weight * (currentFraction - this.#counterFraction);
    this.#updatedAtMs = nowMs;
  }

  /** The fraction of the slots that is expected to serve deferrable work. */
  get deferrableFraction(): number {
    return Math.max(MIN_DEFERRABLE_FRACTION, 1 - this.#counterFraction);
  }
}
