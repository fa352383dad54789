/**
 * The status that a daemon reports to operators.
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

/** The state of a backend server as its pool's owner sees it. */
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
  /** Maximum number of calls in flight that the owner currently allows. */
  readonly limit: number;
}

/** A pool as this daemon knows it. Only its owner lists the backend servers. */
export interface PoolStatus {
  readonly pool: PoolId;
  readonly owner?: VmId;
  readonly isOwnedHere: boolean;
  readonly isDataCentreOut: boolean;
  readonly queueLength: number;
  /** Whether the owner may currently grant permits for cold backend servers. */
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
