/**
 * What VMs tell each other during the rollout of a service's software version.
 *
 * @module
 */

import type {
  BackendServerId,
  DataCentreName,
  SoftwareVersion,
} from "./ids.js";

export type RolloutPhaseName =
  /** The candidate gets requests only by permit. */
  | "observing"
  /** New requests go to the candidate only. */
  | "shifting"
  | "completed"
  | "rolledBack";

/**
 * Calls of one route to one side. Cumulative within the incarnation of the VM
 * that made them.
 */
export interface RolloutCallCounts {
  readonly route: string;
  readonly side: "current" | "candidate";
  /** Only for the candidate; the current version is counted as a whole. */
  readonly server: BackendServerId | undefined;
  /** Data centre of the server, if calls are counted by data centre. */
  readonly dataCentre?: DataCentreName;
  /** All calls, including those in flight and those that never arrived. */
  readonly sent: number;
  /** Calls with a response that isn't a failure, also of cold servers. */
  readonly answered: number;
  /**
   * Calls that the server itself failed. Calls that never reached the server,
   * that it refused as not run, or whose link broke, aren't counted.
   */
  readonly failed: number;
  /** Responses of servers that weren't cold, by duration. */
  readonly durations: readonly number[];
  /**
   * Calls in flight to servers that aren't cold, by the time for which they
   * have been without a first event. A snapshot, not cumulative.
   */
  readonly waiting?: readonly number[];
  /** Streams of servers that weren't cold, by their longest pause. */
  readonly pauses?: readonly number[];
}

/** Permits of one route that a VM used, and that expired unused. */
export interface RolloutPermitUse {
  readonly route: string;
  readonly used: number;
  readonly expired: number;
}

/** What a VM reports to the rollout owner. */
export interface RolloutReport {
  /** Identifies the rollout request. */
  readonly request: string;
  readonly candidate: SoftwareVersion;
  readonly sequence: number;
  readonly counts: readonly RolloutCallCounts[];
  /** Calls in progress at servers of the current version. */
  readonly inFlightAtCurrent: number;
  /** The phase that the sender applies. */
  readonly phase: RolloutPhaseName;
  /** Time since the sender learned of the rollout request. */
  readonly ageMs: number;
  /** Whether the sender has seen servers of other versions of the service. */
  readonly hasSeenCurrent: boolean;
  /** The highest total of permits that an owner told the sender to have reserved. */
  readonly reserved: number;
  /** The owner's term to which the use of permits refers; empty before the first. */
  readonly term: string;
  readonly permitUse: readonly RolloutPermitUse[];
}

/** Permits for requests of one route to the candidate. */
export interface RolloutPermitGrant {
  readonly route: string;
  readonly count: number;
}

/** The owner's reply to a report. */
export interface RolloutPermits {
  readonly request: string;
  readonly candidate: SoftwareVersion;
  /** The report to which this replies. */
  readonly sequence: number;
  /** Differs for each owner, and each time that one starts anew. */
  readonly term: string;
  /** Of the owner's reservation; permits of an earlier one aren't accepted. */
  readonly revision: number;
  /** The era of the store to which the revision belongs. */
  readonly era: number;
  readonly reserved: number;
  readonly phase: RolloutPhaseName;
  readonly grants: readonly RolloutPermitGrant[];
  /** The servers of the candidate that the permits are for. */
  readonly servers: readonly BackendServerId[];
}

/** Tells of the phase of a rollout. */
export interface RolloutPhaseNews {
  readonly request: string;
  readonly candidate: SoftwareVersion;
  readonly phase: RolloutPhaseName;
  readonly revision: number;
  readonly era: number;
}
