/**
 * Reads the status and the configuration of daemons.
 *
 * @module
 */

import type { DaemonStatus } from "@sassafrasstage/protocol/status";
import type { Cluster } from "@sassafrasstage/stand-ins/cluster/cluster";
import type { DaemonHandle } from "@sassafrasstage/stand-ins/cluster/daemon_handle";
import { setTimeout as sleep } from "node:timers/promises";

const POLL_INTERVAL_MS = 50;
const OWNER_TIMEOUT_MS = 10_000;

export async function readStatus(daemon: DaemonHandle): Promise<DaemonStatus> {
  return (await daemon.admin("/admin/v1/status")).body as DaemonStatus;
}

/** Returns the id of the VM that owns a pool, once one does. */
export async function findPoolOwner(
  cluster: Cluster,
  service: string,
  dataCentre: string,
): Promise<string> {
  const endAtMs = performance.now() + OWNER_TIMEOUT_MS;
  while (performance.now() < endAtMs) {
    for (const daemon of cluster.daemonsIn(dataCentre)) {
      const { pools } = await readStatus(daemon);
      const pool = pools.find((status) =>
        status.pool.service === service && status.pool.dataCentre === dataCentre
      );
      if (pool?.isOwnedHere === true) return daemon.vmId;
    }
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(`No VM owns the pool ${service}@${dataCentre}`);
}

/** Waits until a daemon has the generation, or a later one, in force. */
export async function waitForGeneration(
  daemon: DaemonHandle,
  generation: number,
  timeoutMs: number,
): Promise<void> {
  const endAtMs = performance.now() + timeoutMs;
  let current = 0;
  while (performance.now() < endAtMs) {
    current = (await readStatus(daemon)).generation;
    if (current >= generation) return;
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(
    `${daemon.vmId} has generation ${current}, expected ${generation}`,
  );
}

/**
 * Returns the configuration in force at a daemon as JSON text that can be
 * compared with that of other daemons.
 */
export async function readConfiguration(daemon: DaemonHandle): Promise<string> {
  const { body } = await daemon.admin("/admin/v1/configuration");
  return JSON.stringify(body, normalizeOrder);
}

/** Sorts members and backend servers, whose order has no meaning. */
function normalizeOrder(name: string, value: unknown): unknown {
  if (name === "backendServers") {
    return (value as { id: string }[]).toSorted((a, b) => a.id < b.id ? -1 : 1);
  }
  if (typeof value !== "object" || value === null) return value;
  if (Array.isArray(value)) return value;
  const members = Object.entries(value).sort(([a], [b]) => a < b ? -1 : 1);
  return Object.fromEntries(members);
}
