/**
 * Decides which requests a VM still takes while it shuts down.
 *
 * Load pattern: the balancer sends new connections for a while after a VM says
 * that it isn't ready, and clients go on using the connections that they have.
 * At first, what will likely be answered in time is taken, as other VMs may be
 * few. Once the balancer has moved on, only what ends in time even at its own
 * limit is taken: the others can be served whole elsewhere.
 *
 * @module
 */

/** The times of a shutdown, by the monotonic clock. */
export interface Shutdown {
  readonly startedAtMs: number;
  /** When the process will end. */
  readonly endsAtMs: number;
}

/** What is known of a request's duration. */
export interface ExpectedDuration {
  /** Time within which nearly all requests of its route are answered. */
  readonly highEstimateMs: number;
  /** Time after which it is given up. */
  readonly limitMs: number;
}

/** The balancer's two missed checks, a second apart, are over by then. */
const BALANCER_DETECTION_MS = 2500;

/**
 * Whether the request is answered before the process ends.
 *
 * @example
 * ```ts
 * if (!canFinishBeforeExit(shutdown, { highEstimateMs, limitMs }, nowMs)) refuse("leaving");
 * ```
 */
export function canFinishBeforeExit(
  shutdown: Shutdown,
  duration: ExpectedDuration,
  nowMs: number,
): boolean {
  const isOutOfBalancer = nowMs >= shutdown.startedAtMs + BALANCER_DETECTION_MS;
  const expectedMs = isOutOfBalancer
    ? duration.limitMs
    : Math.min(duration.highEstimateMs, duration.limitMs);
  return nowMs + expectedMs < shutdown.endsAtMs;
}
