/**
 * What daemons say of themselves.
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

/** The VM that owns a pool. */
export async function findOwner(
  cluster: Cluster,
  service: string,
  dataCentre: string,
): Promise<string> {
  const endAtMs = performance.now() + OWNER_TIMEOUT_MS;
  while (performance.now() < endAtMs) {
    for (const daemon of cluster.daemonsIn(dataCentre)) {
      const { pools } = await readStatus(daemon);
      const pool = pools.find((one) =>
        one.pool.service === service && one.pool.dataCentre === dataCentre
      );
      if (pool?.isOwnedHere === true) return daemon.vmId;
    }
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(`Nobody owns ${service}@${dataCentre}`);
}

/** Waits until a daemon has the generation in force. */
export async function waitForGeneration(
  daemon: DaemonHandle,
  generation: number,
  timeoutMs: number,
): Promise<void> {
  const endAtMs = performance.now() + timeoutMs;
  let seen = 0;
  while (performance.now() < endAtMs) {
    seen = (await readStatus(daemon)).generation;
    if (seen >= generation) return;
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(`${daemon.vmId} has generation ${seen}, not ${generation}`);
}

/** The configuration in force at a daemon, in one form. */
export async function readContent(daemon: DaemonHandle): Promise<string> {
  const { body } = await daemon.admin("/admin/v1/configuration");
  return JSON.stringify(body, toOneForm);
}

/** The order of members and of backend servers says nothing. */
function toOneForm(name: string, value: unknown): unknown {
  if (name === "backendServers") {
    return (value as { id: string }[]).toSorted((a, b) => a.id < b.id ? -1 : 1);
  }
  if (typeof value !== "object" || value === null) return value;
  if (Array.isArray(value)) return value;
  const members = Object.entries(value).sort(([a], [b]) => a < b ? -1 : 1);
  return Object.fromEntries(members);
}
