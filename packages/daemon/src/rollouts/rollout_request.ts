/**
 * A request to move a service to another software version, its status, and the
 * record of how much the version has been exposed, as objects of the platform.
 *
 * @module
 */

import type {
  ServiceName,
  SoftwareVersion,
  VmId,
} from "@sassafrasstage/protocol/ids";
import type { StoredObject } from "@sassafrasstage/protocol/platform_objects";
import type {
  RolloutCallCounts,
  RolloutPhaseName,
} from "@sassafrasstage/protocol/rollouts";
import type { ReadResult } from "../deployment/read_result.js";

/** Bounds of what an undecided or bad version may receive. */
export interface ExposureSettings {
  /** Largest share of the service's requests. */
  readonly share: number;
  /** Requests beyond that share. */
  readonly slack: number;
  /** Time within which a bad version gets no more requests. */
  readonly rollbackMs: number;
}

export interface RolloutRequest {
  /**
   * Distinguishes the request from others for the same service. It stays the
   * same when only the status or the duration is written.
   */
  readonly id: string;
  readonly service: ServiceName;
  /** The candidate. */
  readonly to: SoftwareVersion;
  /** Time from the request until its deadline. */
  readonly durationMs: number;
}

export type FinalPhase = "completed" | "rolledBack";
export type RolloutState = "serving" | FinalPhase;

export interface Rollout {
  readonly key: string;
  readonly revision: number;
  readonly request: RolloutRequest;
  /** Undefined if the status isn't of this request's version. */
  readonly state: RolloutState | undefined;
}

/** Kept by the rollout owner, so that another VM can continue. */
export interface RolloutRecord {
  readonly service: ServiceName;
  readonly candidate: SoftwareVersion;
  /** The id of the rollout request. */
  readonly request: string;
  readonly phase: RolloutPhaseName;
  /** Requests of the service that VMs reported. */
  readonly requests: number;
  /** Permits that owners may have granted. */
  readonly reserved: number;
  /** Time from the rollout request until this was written. */
  readonly elapsedMs: number;
  /** The VM that wrote this. */
  readonly owner: VmId;
  /** Of that VM; differs each time that a VM takes over. */
  readonly term: string;
  readonly counts: readonly RolloutCallCounts[];
}

/** Keys and format of these objects, provided by the platform's adapter. */
export interface RolloutObjectFormat {
  readonly rolloutsPrefix: string;
  readRollout(object: StoredObject): ReadResult<Rollout>;
  rolloutStatus(status: {
    readonly state: RolloutState;
    readonly to: SoftwareVersion;
  }): unknown;
  rolloutRecordKey(service: ServiceName): string;
  rolloutRecordValue(record: RolloutRecord): unknown;
  readRolloutRecord(object: StoredObject): ReadResult<RolloutRecord>;
}

/** Whether the phase is one that doesn't change any more. */
export function isFinal(
  phase: RolloutPhaseName | RolloutState | undefined,
): phase is FinalPhase {
  return phase === "completed" || phase === "rolledBack";
}
