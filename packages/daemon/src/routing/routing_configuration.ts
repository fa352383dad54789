/**
 * The accepted configuration of pass-through routes.
 *
 * @module
 */

import type {
  ClientAccountId,
  ServiceName,
} from "@sassafrasstage/protocol/ids";

/** Whether and how a request may be retried. */
export type Repeatability =
  /** May run more than once. */
  | { readonly kind: "idempotent" }
  /** May run at most once. */
  | { readonly kind: "nonIdempotent" }
  /**
   * The response is a stream of numbered events. A resumable stream may continue
   * at another backend server; any other is treated as non-idempotent.
   */
  | { readonly kind: "stream"; readonly isResumable: boolean };

/** A stage of a route, which runs before the route's target service. */
export interface RouteStage {
  readonly service: ServiceName;
  /** Indexes of the stages whose results this one needs. */
  readonly after: readonly number[];
  /** Approximate size of the result of one item. */
  readonly resultBytes: number;
}

export interface WeightedService {
  readonly service: ServiceName;
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly repeatability: Repeatability;
  readonly targets: readonly WeightedService[];
  readonly maxAttempts: number;
  readonly timeoutMs: number;
  /** Latency objective, counted from when the client sends the request. */
  readonly objectiveMs: number;
  /** Lower values are more urgent; 0 is the most urgent. */
  readonly priority: number;
  readonly isPublic: boolean;
  readonly stages: readonly RouteStage[];
}

/** Limits for batched stage calls to a service. */
export interface BatchLimits {
  /** Maximum number of concurrent calls per backend server. */
  readonly maxConcurrentCalls: number;
  readonly maxItems: number;
  readonly callMs: number;
  readonly itemMs: number;
  /** Memory for results per backend server. */
  readonly resultRoomBytes: number;
  /** Time after the end of its call for which a result is kept. */
  readonly resultRetentionMs: number;
}

export interface RoutedService {
  readonly name: ServiceName;
  /** Connections that one backend server accepts from all callers. */
  readonly connectionLimit: number;
  /** Request rate that a cold backend server can sustain. */
  readonly coldRequestsPerSecond: number;
  readonly batches: BatchLimits | undefined;
}

export interface ClientLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface ClientAccount {
  readonly id: ClientAccountId;
  readonly keys: readonly string[];
  /** Overrides the route's priority. */
  readonly priority: number | undefined;
}

export interface RoutingConfiguration {
  /** Increases with each accepted configuration. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  readonly limits: ClientLimits;
  /** Undefined if requests need no API key. */
  readonly accounts: readonly ClientAccount[] | undefined;
}
