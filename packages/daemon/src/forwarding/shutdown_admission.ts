/**
 * Decides which requests a VM still accepts during shutdown.
 *
 * Load pattern: the load balancer keeps sending new connections for a while after
 * a VM reports that it isn't ready, and clients keep using open connections. At
 * first, requests that are likely to finish in time are accepted, as there may be
 * few other VMs. Once the load balancer has stopped sending connections, only
 * requests that finish in time even at their own limit are accepted; other VMs
 * can serve the rest to completion.
 *
 * @module
 */

/** Start and end of a shutdown, in monotonic clock time. */
export interface Shutdown {
  readonly startedAtMs: number;
  /** When the process stops serving requests. */
  readonly endsAtMs: number;
}

/** Estimated and maximum duration of a request. */
export interface ExpectedDuration {
  /** Time within which nearly all requests of the route finish. */
  readonly highEstimateMs: number;
  /** Time after which the request is ended. */
  readonly limitMs: number;
}

/** By then two readiness checks of the load balancer, 1 s apart, have failed. */
const BALANCER_DETECTION_MS = 2500;

/**
 * Whether the request is expected to finish before the process exits.
 *
 * @example
 * ```ts
 * if (!canFinishBeforeExit(shutdown, duration, nowMs)) refuse("leaving");
 * ```
 */
export function canFinishBeforeExit(
  shutdown: Shutdown,
  duration: ExpectedDuration,
  nowMs: number,
): boolean {
  const isRemovedFromBalancer =
    nowMs >= shutdown.startedAtMs + BALANCER_DETECTION_MS;
  const expectedMs = isRemovedFromBalancer
    ? duration.limitMs
    : Math.min(duration.highEstimateMs, duration.limitMs);
  return nowMs + expectedMs < shutdown.endsAtMs;
}
