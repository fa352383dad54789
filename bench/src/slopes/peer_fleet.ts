/**
 * Starts peer networks in one process with the daemon's default settings.
 *
 * @module
 */

import { MONOTONIC_CLOCK } from "@sassafrasstage/daemon/clock";
import { createLogger } from "@sassafrasstage/daemon/observability/logger";
import { Metrics } from "@sassafrasstage/daemon/observability/metrics";
import {
  type RunningPeerNetwork,
  startPeerNetwork,
} from "@sassafrasstage/daemon/peers/start_peer_network";
import { settingsSchema } from "@sassafrasstage/daemon/settings/settings";
import { toId } from "@sassafrasstage/protocol/ids";
import { setTimeout as sleep } from "node:timers/promises";

const POLL_MS = 20;
const CONNECT_TIMEOUT_MS = 10_000;

/**
 * Starts networks in one data centre and waits until each sees all as live.
 *
 * @example
 * ```ts
 * const fleet = await startPeerFleet(6);
 * await stopPeerFleet(fleet);
 * ```
 */
export async function startPeerFleet(
  size: number,
): Promise<RunningPeerNetwork[]> {
  const fleet: RunningPeerNetwork[] = [];
  for (let index = 0; index < size; index += 1) {
    fleet.push(await startNetwork(index, fleet));
  }
  const deadlineAtMs = performance.now() + CONNECT_TIMEOUT_MS;
  while (!fleet.every((network) => seesAllLive(network, size))) {
    if (performance.now() > deadlineAtMs) throw new Error("A peer is not live");
    await sleep(POLL_MS);
  }
  return fleet;
}

/**
 * @example
 * ```ts
 * await stopPeerFleet(fleet);
 * ```
 */
export async function stopPeerFleet(
  fleet: readonly RunningPeerNetwork[],
): Promise<void> {
  await Promise.all(fleet.map((network) => network.close()));
}

function startNetwork(
  index: number,
  startedNetworks: readonly RunningPeerNetwork[],
): Promise<RunningPeerNetwork> {
  const seeds = startedNetworks.map(({ self, address }) =>
    `${self.vmId}@palermo@${address.host}:${address.port}`
  );
  const settings = settingsSchema.parse({
    vm: { id: `vm-${index}`, data_centre: "palermo" },
    listen: { http: "127.0.0.1:0", peers: "127.0.0.1:0" },
    peers: { shared_key: "shared-key-of-the-bench", seeds: seeds.join(",") },
    platform: { url: "http://127.0.0.1:1" },
    admin: { key_sha256: "0".repeat(64) },
  });
  return startPeerNetwork({
    settings,
    incarnation: toId("1"),
    clock: MONOTONIC_CLOCK,
    metrics: new Metrics(),
    logger: createLogger("error", {}),
  });
}

function seesAllLive(network: RunningPeerNetwork, size: number): boolean {
  const { members } = network.view(MONOTONIC_CLOCK.nowMs());
  return members.filter((member) => member.state === "live").length === size;
}
