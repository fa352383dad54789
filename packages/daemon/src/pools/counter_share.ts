/**
 * The part of a pool's slots that callers at a counter take.
 *
 * Load pattern: counter work goes first, so work that can wait gets only what
 * counter work has left of late.
 *
 * @module
 */

/** Even under full counter load aged deferrable work gets this much. */
const LEAST_DEFERRABLE_PART = 0.25;
const WINDOW_MS = 1000;

/** Smooths the part over the latest second. */
export class CounterShare {
  #part = 0;
  #updatedAtMs = 0;

  update(busyPart: number, nowMs: number): void {
    const weight = Math.min(1, (nowMs - this.#updatedAtMs) / WINDOW_MS);
    this.#part += weight * (busyPart - this.#part);
    this.#updatedAtMs = nowMs;
  }

  /** The part of the slots that deferrable work can count on. */
  get deferrablePart(): number {
    return Math.max(LEAST_DEFERRABLE_PART, 1 - this.#part);
  }
}
