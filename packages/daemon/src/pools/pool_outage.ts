/**
 * A pool whose servers in service are all down, and what waiting there is
 * worth.
 *
 * @module
 */

import type { PooledServer } from "./pooled_server.js";

/** Every server is probed with one call at a time, after its back-off. */
export interface PoolOutage {
  readonly firstProbeAtMs: number;
  /** The time between two probes of the whole pool. */
  readonly probeIntervalMs: number;
}

/**
 * Undefined unless there are servers in service and all of them are down.
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
  let longestBackOffMs = 0;
  let count = 0;
  for (const { availability, health } of servers) {
    if (availability !== "inService") continue;
    if (health.state.kind !== "down") return undefined;
    firstProbeAtMs = Math.min(firstProbeAtMs, health.state.probeAtMs);
    longestBackOffMs = Math.max(longestBackOffMs, health.state.backOffMs);
    count += 1;
  }
  if (count === 0) return undefined;
  return { firstProbeAtMs, probeIntervalMs: longestBackOffMs / count };
}

/**
 * How long a permit request waits to be a probe, with so many permit requests before it.
 *
 * @example
 * ```ts
 * probeWaitMs(outage, { asksAhead: 3, nowMs });
 * ```
 */
export function probeWaitMs(
  outage: PoolOutage,
  place: { readonly requestsAhead: number; readonly nowMs: number },
): number {
  const firstInMs = Math.max(0, outage.firstProbeAtMs - place.nowMs);
  return firstInMs + place.requestsAhead * outage.probeIntervalMs;
}
