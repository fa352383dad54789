/**
 * The time source. Decision functions take the current time as an argument;
 * only the code that calls them reads a clock.
 *
 * @module
 */

/** Milliseconds on a monotonic clock; unrelated to wall-clock time. */
export interface Clock {
  nowMs(): number;
}

/**
 * The clock of the running process.
 *
 * @example
 * ```ts
 * const startedAtMs = MONOTONIC_CLOCK.nowMs();
 * ```
 */
export const MONOTONIC_CLOCK: Clock = {
  nowMs: () => performance.now(),
};
