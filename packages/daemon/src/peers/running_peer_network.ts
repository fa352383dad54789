/**
 * The peer network as the process that started it sees it.
 *
 * @module
 */

import type { Incarnation } from "@sassafrasstage/protocol/ids";
import type { VmListing } from "@sassafrasstage/protocol/platform_objects";
import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { Address, Settings } from "../settings/settings.js";
import type { HeartbeatContent } from "./heartbeat_content.js";
import type { PeerNetwork } from "./peer_network.js";

export interface PeerNetworkOptions {
  readonly settings: Settings;
  readonly incarnation: Incarnation;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

export interface RunningPeerNetwork extends PeerNetwork {
  /** Where other daemons can connect, as bound. */
  readonly address: Address;
  /** Takes the platform's list of VMs, which lags. */
  setListedVms(listing: VmListing): void;
  /** Told to peers from now on. */
  setGeneration(generation: number): void;
  /** Told to peers with each heartbeat from now on. */
  setNewsVersions(versions: readonly number[]): void;
  setHeartbeatContent(content: HeartbeatContent): void;
  /** Tells all peers that this daemon is shutting down. */
  announceLeaving(): void;
  close(): Promise<void>;
}
