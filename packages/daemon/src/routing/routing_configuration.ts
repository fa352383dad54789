/**
 * The configuration of pass-through routes, as the operators accepted it.
 *
 * @module
 */

import type {
  ClientAccountId,
  ServiceName,
} from "@sassafrasstage/protocol/ids";

/** What may be repeated of a request. */
export type Repeatability =
  /** May run more than once. */
  | { readonly kind: "idempotent" }
  /** May run at most once. */
  | { readonly kind: "nonIdempotent" }
  /**
   * Answers with a stream of numbered events. A resumable one may go on at
   * another backend server; any other counts as not idempotent.
   */
  | { readonly kind: "stream"; readonly isResumable: boolean };

/** One stage of a route: work that a service does before the route's own. */
export interface RouteStage {
  readonly service: ServiceName;
  /** Positions of the stages whose results this one needs. */
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
  /** An answer within this time, from the client's sending, is on time. */
  readonly objectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly isPublic: boolean;
  readonly stages: readonly RouteStage[];
}

/** How a service takes batched stage calls. */
export interface BatchLimits {
  /** Calls that one backend server works on at a time. */
  readonly callsAtOnce: number;
  readonly maxItems: number;
  readonly callMs: number;
  readonly itemMs: number;
  /** Memory for results at one backend server. */
  readonly resultRoomBytes: number;
  /** A result is dropped this long after its call ended. */
  readonly resultKeptMs: number;
}

export interface RoutedService {
  readonly name: ServiceName;
  /** Connections that one backend server takes from all callers. */
  readonly connectionLimit: number;
  /** Requests a second that a cold backend server bears. */
  readonly coldRequestsPerSecond: number;
  readonly batches: BatchLimits | undefined;
}

export interface ClientLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMs: number;
  readonly idleMs: number;
}

export interface ClientAccount {
  readonly id: ClientAccountId;
  readonly keys: readonly string[];
  /** Goes before a route's own priority. */
  readonly priority: number | undefined;
}

export interface RoutingConfiguration {
  /** Rises with each accepted configuration. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  readonly limits: ClientLimits;
  /** Undefined where requests need no key. */
  readonly accounts: readonly ClientAccount[] | undefined;
}
