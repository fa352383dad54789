/**
 * The permit source with the operations that the daemon process needs to run it.
 *
 * @module
 */

import type { VmListing } from "@sassafrasstage/protocol/platform_objects";
import type { PoolStatus } from "@sassafrasstage/protocol/status";
import type { Clock } from "../clock.js";
import type { ConfigurationSource } from "../configuration/configuration_source.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { HeartbeatContent } from "../peers/heartbeat_content.js";
import type { PeerNetwork } from "../peers/peer_network.js";
import type { Settings } from "../settings/settings.js";
import type { PermitSource } from "./permit_source.js";

export interface PermitSourceOptions {
  readonly settings: Settings;
  readonly network: PeerNetwork;
  readonly configuration: ConfigurationSource;
  /** The platform's VM list, which may be outdated; undefined before the first one. */
  readonly listedVms: () => VmListing | undefined;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

export interface RunningPermitSource extends PermitSource {
  /** Must be passed to the peer network. */
  readonly heartbeatContent: HeartbeatContent;
  statuses(nowMs: number): PoolStatus[];
  /** Gives up all pools. Permits for requests in flight can still be acquired. */
  startLeaving(): void;
  /** Stops all timers and refuses the waiting permit requests. */
  close(): void;
}
