/**
 * What a daemon tells operators of itself.
 *
 * @module
 */

import type {
  BackendServerId,
  DataCentreName,
  Incarnation,
  PoolId,
  VmId,
} from "./ids.js";

/** The life of one backend server as its pool's owner sees it. */
export type BackendServerState =
  | "unknown"
  | "cold"
  | "warming"
  | "warm"
  | "leaving"
  | "down"
  | "out";

export interface BackendServerStatus {
  readonly id: BackendServerId;
  readonly state: BackendServerState;
  readonly inFlight: number;
  /** Calls in flight that the owner allows at present. */
  readonly limit: number;
}

/** A pool as this daemon knows it; servers are listed by its owner alone. */
export interface PoolStatus {
  readonly pool: PoolId;
  readonly owner?: VmId;
  readonly isOwnedHere: boolean;
  readonly isDataCentreOut: boolean;
  readonly queueLength: number;
  /** Whether the owner may grant for cold backend servers now. */
  readonly coldGrants: "allowed" | "withheld";
  readonly backendServers: readonly BackendServerStatus[];
}

export type Readiness =
  | { readonly kind: "ready" }
  | { readonly kind: "notReady"; readonly reason: string };

export interface MemberStatus {
  readonly vmId: VmId;
  readonly dataCentre: DataCentreName;
  readonly state: "live" | "silent" | "leaving" | "gone";
  readonly generation: number;
}

export interface DaemonStatus {
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  readonly dataCentre: DataCentreName;
  readonly generation: number;
  readonly readiness: Readiness;
  readonly members: readonly MemberStatus[];
  readonly pools: readonly PoolStatus[];
}
