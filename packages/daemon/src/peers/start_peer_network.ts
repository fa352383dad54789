/**
 * Starts the peer network of this daemon.
 *
 * @module
 */

import { PeerNetworkDriver } from "./peer_network_driver.js";
import type {
  PeerNetworkOptions,
  RunningPeerNetwork,
} from "./running_peer_network.js";

export type { PeerNetworkOptions, RunningPeerNetwork };

/**
 * Listens for other daemons and connects to the seeds in the settings.
 *
 * @example
 * ```ts
 * const network = await startPeerNetwork({
 *   settings,
 *   incarnation,
 *   clock: MONOTONIC_CLOCK,
 *   metrics,
 *   logger,
 * });
 * network.messages.on("permitRequest", ({ from, message }) => { … });
 * ```
 */
export async function startPeerNetwork(
  options: PeerNetworkOptions,
): Promise<RunningPeerNetwork> {
  const driver = new PeerNetworkDriver(options);
  await driver.start();
  return driver;
}
