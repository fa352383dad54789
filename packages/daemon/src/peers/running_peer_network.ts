/**
 * The interface of the peer network for the process that starts it.
 *
 * @module
 */

import type { Incarnation, ServiceName } from "@sassafrasstage/protocol/ids";
import type {
  StoreEra,
  VmListing,
} from "@sassafrasstage/protocol/platform_objects";
import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { Address, Settings } from "../settings/settings.js";
import type {
  HeartbeatContent,
  ReadStoreAge,
  TakeBegunStreams,
  TakePoisonPartNews,
} from "./heartbeat_content.js";
import type { PeerNetwork } from "./peer_network.js";

export interface PeerNetworkOptions {
  readonly settings: Settings;
  readonly incarnation: Incarnation;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

export interface RunningPeerNetwork extends PeerNetwork {
  /** The bound address to which other daemons can connect. */
  readonly address: Address;
  /** Applies the platform's list of VMs, which may be out of date. */
  setListedVms(listing: VmListing): void;
  /** Sets the configuration generation that is reported to peers. */
  setGeneration(generation: number): void;
  /** Sets the object versions that each heartbeat reports to peers. */
  setNewsVersions(
    versions: readonly number[],
    eras: readonly StoreEra[],
  ): void;
  /** Tells peers that this daemon makes calls to servers for them. */
  setRelaysCalls(): void;
  /** Tells peers that this daemon knows the `objectChanges` message. */
  setTakesObjectChanges(): void;
  /** Tells peers that this daemon takes part in rollouts of versions. */
  setKnowsRollouts(): void;
  /** Sets what heartbeats tell the VMs that don't watch the store themselves. */
  setStoreAge(read: ReadStoreAge): void;
  /** Sets the services that heartbeats name as cut off from this VM. */
  setCutOffServices(services: readonly ServiceName[]): void;
  setBegunStreams(take: TakeBegunStreams): void;
  setPoisonPartNews(take: TakePoisonPartNews): void;
  setHeartbeatContent(content: HeartbeatContent): void;
  /** Tells all connected peers that this daemon is shutting down. */
  announceLeaving(): void;
  close(): Promise<void>;
}
