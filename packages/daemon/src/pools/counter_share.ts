/**
 * The part of a pool's slots that callers at a counter take.
 *
 * Load pattern: counter work goes first, so work that can wait gets only what
 * counter work has left of late.
 *
 * @module
 */

/** Even under full counter load aged deferrable work gets this much. */
const MIN_DEFERRABLE_FRACTION = 0.25;
const WINDOW_MS = 1000;

/** Smooths the part over the latest second. */
export class CounterShare {
  #counterFraction = 0;
  #updatedAtMs = 0;

  update(currentFraction: number, nowMs: number): void {
    const weight = Math.min(1, (nowMs - this.#updatedAtMs) / WINDOW_MS);
    this.#counterFraction += weight * (currentFraction - this.#counterFraction);
    this.#updatedAtMs = nowMs;
  }

  /** The part of the slots that deferrable work can count on. */
  get deferrablePart(): number {
    return Math.max(MIN_DEFERRABLE_FRACTION, 1 - this.#counterFraction);
  }
}
