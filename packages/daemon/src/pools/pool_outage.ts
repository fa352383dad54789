/**
 * Detects a pool whose servers in service are all down, and estimates how long
 * a permit request has to wait there.
 *
 * @module
 */

import type { PooledServer } from "./pooled_server.js";

/** Each server is probed with one call at a time, after its backoff. */
export interface PoolOutage {
  readonly firstProbeAtMs: number;
  /** The mean time between two probes across the whole pool. */
  readonly probeIntervalMs: number;
}

/**
 * The pool's outage; undefined unless there are servers in service and all of
 * them are down.
 *
 * @example
 * ```ts
 * const outage = findOutage(servers.values());
 * ```
 */
export function findOutage(
  servers: Iterable<PooledServer>,
): PoolOutage | undefined {
  let firstProbeAtMs = Infinity;
  let longestBackoffMs = 0;
  let count = 0;
  for (const { availability, health } of servers) {
    if (availability !== "inService") continue;
    if (health.state.kind !== "down") return undefined;
    firstProbeAtMs = Math.min(firstProbeAtMs, health.state.probeAtMs);
    longestBackoffMs = Math.max(longestBackoffMs, health.state.backoffMs);
    count += 1;
  }
  if (count === 0) return undefined;
  return { firstProbeAtMs, probeIntervalMs: longestBackoffMs / count };
}

/**
 * How long a permit request has to wait until it can be sent as a probe, given
 * the number of permit requests ahead of it.
 *
 * @example
 * ```ts
 * probeWaitMs(outage, { requestsAhead: 3, nowMs });
 * ```
 */
export function probeWaitMs(
  outage: PoolOutage,
  position: { readonly requestsAhead: number; readonly nowMs: number },
): number {
  const firstInMs = Math.max(0, outage.firstProbeAtMs - position.nowMs);
  return firstInMs + position.requestsAhead * outage.probeIntervalMs;
}
