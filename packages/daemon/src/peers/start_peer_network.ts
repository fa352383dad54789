/**
 * Starts this daemon's part of the network of daemons.
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
 * Listens for other daemons and connects to those that the settings name.
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
 * network.messages.on("permitAsk", ({ from, message }) => { … });
 * ```
 */
export async function startPeerNetwork(
  options: PeerNetworkOptions,
): Promise<RunningPeerNetwork> {
  const driver = new PeerNetworkDriver(options);
  await driver.start();
  return driver;
}
