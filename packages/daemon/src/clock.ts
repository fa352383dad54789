/**
 * The time source. Deciding functions take the present time as an argument;
 * only the code that drives them reads a clock.
 *
 * @module
 */

/** Milliseconds on the process's monotonic clock; says nothing of the date. */
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
