/**
 * Dependencies and per-request state of request forwarding.
 *
 * @module
 */

import type { ClientAccount, Route } from "../routing/routing_configuration.js";
import type {
  DataCentreName,
  ServiceName,
  SoftwareVersion,
} from "@sassafrasstage/protocol/ids";
import type { Clock } from "../clock.js";
import type { BufferAccount } from "../memory/buffer_account.js";
import type { LatencyRecords } from "../observability/latency_records.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { PoisonParts } from "../poison_parts/poison_parts.js";
import type { ServerDirectory } from "../placement/server_directory.js";
import type { RolloutGate } from "../rollouts/rollout_gate.js";
import type { ServerRateLimits } from "../rate_limits/server_rate_limits.js";
import type { StreamVersions } from "../stream_versions/stream_versions.js";
import type { StageGraphClient } from "../stage_graphs/stage_graph_client.js";
import type { RequestLifetime } from "./request_lifetime.js";
import type { ServerNotices } from "../register/server_notices.js";
import type { RouteStatistics } from "./route_statistics.js";
import type { ClientChannel, RoutedRequest } from "./routed_request.js";
import type { ServerCaller } from "./server_caller.js";

/** Dependencies shared by all requests. */
export interface ForwardEnvironment {
  readonly directory: ServerDirectory;
  readonly serverCaller: ServerCaller;
  readonly graphs: StageGraphClient;
  readonly rateLimits: ServerRateLimits;
  readonly streamVersions: StreamVersions;
  readonly poisonParts: PoisonParts;
  readonly serverNotices: ServerNotices;
  /** Absent where rollouts of versions aren't supervised. */
  readonly rollouts?: RolloutGate;
  readonly routeStatistics: RouteStatistics;
  readonly dataCentre: DataCentreName;
  /** Maximum number of items of all stages of one request. */
  readonly maxStageItems: number;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly latencies: LatencyRecords;
  /** Accounts for responses that are being received. */
  readonly buffers: BufferAccount;
  readonly logger: Logger;
}

/** State of one admitted request. */
export interface ForwardContext {
  readonly environment: ForwardEnvironment;
  readonly request: RoutedRequest;
  readonly channel: ClientChannel;
  readonly route: Route;
  readonly service: ServiceName;
  readonly account: ClientAccount | undefined;
  readonly lifetime: RequestLifetime;
  /** Name of the group of stage services that one coordinator runs. */
  readonly stageGroup: string;
  readonly configurationVersion: number;
  /**
   * Estimated time since the client's first attempt; set with the overload
   * policy `callerCost` only.
   */
  readonly ageMs?: number | undefined;
  /** For the log. */
  readonly trace?: RequestTrace;
}

/** What is known of a request's calls when it ends. */
export interface RequestTrace {
  /** Of the server that was called last. */
  softwareVersion?: SoftwareVersion;
}

/** How a request ended, for logs and metrics; `own` means that a local reply was sent. */
export type ForwardOutcome =
  | { readonly kind: "answered"; readonly status: number }
  | { readonly kind: "own"; readonly answer: string; readonly detail: string }
  | { readonly kind: "brokenOff"; readonly detail: string }
  | { readonly kind: "clientGone" };
