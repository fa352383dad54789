/**
 * What the forwarding of a request works with.
 *
 * @module
 */

import type { ClientAccount, Route } from "../routing/routing_configuration.js";
import type { DataCentreName, ServiceName } from "@sassafrasstage/protocol/ids";
import type { Clock } from "../clock.js";
import type { LatencyRecords } from "../observability/latency_records.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { ServerDirectory } from "../placement/server_directory.js";
import type { StageGraphClient } from "../stage_graphs/stage_graph_client.js";
import type { RequestLifetime } from "./request_lifetime.js";
import type { RouteMeasures } from "./route_measures.js";
import type { ClientChannel, RoutedRequest } from "./routed_request.js";
import type { ServerCaller } from "./server_caller.js";

/** The parts that all requests share. */
export interface ForwardEnvironment {
  readonly directory: ServerDirectory;
  readonly caller: ServerCaller;
  readonly graphs: StageGraphClient;
  readonly measures: RouteMeasures;
  readonly dataCentre: DataCentreName;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly latencies: LatencyRecords;
  readonly logger: Logger;
}

/** One request that was let in. */
export interface ForwardContext {
  readonly environment: ForwardEnvironment;
  readonly request: RoutedRequest;
  readonly channel: ClientChannel;
  readonly route: Route;
  readonly service: ServiceName;
  readonly account: ClientAccount | undefined;
  readonly lifetime: RequestLifetime;
  /** Names the stage services that one coordinator runs. */
  readonly stageGroup: string;
  readonly configurationVersion: number;
}

/** How a request ended, for the logs and counters. */
export type ForwardOutcome =
  | { readonly kind: "answered"; readonly status: number }
  | { readonly kind: "own"; readonly answer: string; readonly detail: string }
  | { readonly kind: "brokenOff"; readonly detail: string }
  | { readonly kind: "clientGone" };
