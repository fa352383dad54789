/**
 * Several configuration managers on one in-memory store, for unit tests.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { MONOTONIC_CLOCK } from "../../clock.js";
import { createLogger } from "../../observability/logger.js";
import { Metrics } from "../../observability/metrics.js";
import {
  type MemoryConnection,
  MemoryObjectStore,
} from "../../platform/testing/memory_object_store.js";
import { settingsSchema } from "../../settings/settings.js";
import {
  type RunningConfigurationManager,
  startConfigurationManager,
} from "../start_configuration_manager.js";
import { type MemoryPeerNetwork, MemoryPeers } from "./memory_peers.js";

const POLL_INTERVAL_MS = 10;

export interface TestDaemon {
  readonly manager: RunningConfigurationManager;
  readonly connection: MemoryConnection;
  readonly network: MemoryPeerNetwork;
  readonly metrics: Metrics;
}

/** Test daemons that share one store and peer network; `close` stops them. */
export class ConfigurationFleet {
  readonly store = new MemoryObjectStore();
  readonly peers = new MemoryPeers();
  readonly daemons: TestDaemon[] = [];

  async start(name: string, dataCentre = "palermo"): Promise<TestDaemon> {
    const connection = this.store.connect();
    const network = await this.peers.join(name, dataCentre);
    const metrics = new Metrics();
    const settings = settingsSchema.parse({
      vm: { id: name, data_centre: dataCentre },
      listen: { http: "127.0.0.1:0", peers: "127.0.0.1:0" },
      peers: { shared_key: "0123456789abcdef" },
      platform: { url: "http://127.0.0.1:1" },
      admin: { key_sha256: "0".repeat(64) },
    });
    const manager = startConfigurationManager({
      settings,
      store: connection,
      network,
      clock: MONOTONIC_CLOCK,
      metrics,
      logger: createLogger("error", { vm: name }),
    });
    const daemon = { manager, connection, network, metrics };
    this.daemons.push(daemon);
    await this.peers.connectAll();
    return daemon;
  }

  async close(): Promise<void> {
    this.peers.close();
    this.store.wakeWatches();
    await Promise.all(this.daemons.map((daemon) => daemon.manager.close()));
  }
}

/** Rejects when the condition doesn't become true in time. */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  timeoutMs = 5000,
): Promise<void> {
  const endAtMs = performance.now() + timeoutMs;
  while (!await condition()) {
    if (performance.now() > endAtMs) throw new Error("Timed out waiting");
    await sleep(POLL_INTERVAL_MS);
  }
}

/** True when this generation is in force in all the daemons. */
export function haveGeneration(
  daemons: readonly TestDaemon[],
  generation: number,
): boolean {
  return daemons.every((daemon) =>
    daemon.manager.current()?.generation === generation
  );
}

/** The event's total count over all the daemons. */
export async function countEvents(
  daemons: readonly TestDaemon[],
  event: string,
): Promise<number> {
  let count = 0;
  for (const daemon of daemons) {
    const [metric] = (await daemon.metrics.registry.getMetricsAsJSON())
      .filter((entry) => entry.name === "sassafrasstage_events_total");
    for (const value of metric?.values ?? []) {
      if (value.labels["event"] === event) count += value.value;
    }
  }
  return count;
}
