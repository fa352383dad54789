/**
 * What the parts that send requests ask about rollouts of software versions.
 *
 * @module
 */

import type { ServiceName } from "@sassafrasstage/protocol/ids";
import type { RegisteredServer } from "../register/server_register.js";

/** For one request to a server of a rollout's candidate. */
export interface ExposurePermit {
  readonly expiresAtMs: number;
  /** Returns the permit to the owner, as the request wasn't sent. */
  giveBack(): void;
}

/** Whether new work may go to a server. */
export type ServerAdmission = "freely" | "withPermit" | "never";

export interface AdmissionOptions {
  /** The work goes on with what servers of this version have begun. */
  readonly isContinuation: boolean;
}

/** How a call to a server ended. */
export type RolloutCallOutcome =
  | "answered"
  | "failed"
  /** Says nothing about the version, as when the call didn't reach the server. */
  | "notCounted";

/** Counts one call; every method may be called after the end. */
export interface RolloutCall {
  /** The request is about to be written. */
  recordSend(): void;
  /** An event of a stream, or the whole response otherwise. */
  recordEvent(): void;
  /**
   * @param durationMs If given, counts as the time to the first event of a call
   *   without one
   */
  end(outcome: RolloutCallOutcome, durationMs?: number): void;
}

/** Servers to which new work may go. */
export interface AdmittedServers<Server> {
  readonly free: readonly Server[];
  /** Each request to one of these needs a permit. */
  readonly permitted: readonly Server[];
}

export interface RolloutGate {
  admits(
    server: RegisteredServer,
    options: AdmissionOptions,
  ): ServerAdmission;
  /** Splits the servers of a service; leaves out those that get no new work. */
  split<Server extends { readonly server: RegisteredServer }>(
    service: ServiceName,
    servers: readonly Server[],
    options: AdmissionOptions,
  ): AdmittedServers<Server>;
  /** Permits for requests of the route that this VM holds now. */
  permitCount(service: ServiceName, route: string): number;
  /** Takes a permit for a request of the route; undefined if there is none. */
  takePermit(
    server: RegisteredServer,
    route: string,
  ): ExposurePermit | undefined;
  /** Checked right before a request is written, as it may have waited. */
  maySend(
    server: RegisteredServer,
    permit: Pick<ExposurePermit, "expiresAtMs"> | undefined,
    options: AdmissionOptions,
  ): boolean;
  /**
   * Called when a call is started, before it is sent.
   *
   * @param cost Expected duration of a batched call relative to one with a
   *   single item. Durations are divided by it, as calls of different sizes
   *   would otherwise look slow or fast.
   */
  beginCall(
    server: RegisteredServer,
    route: string,
    cost?: number,
  ): RolloutCall;
}

const UNCOUNTED_CALL: RolloutCall = {
  recordSend: () => undefined,
  recordEvent: () => undefined,
  end: () => undefined,
};

/** For deployments that don't supervise rollouts. */
export const NO_ROLLOUTS: RolloutGate = {
  admits: () => "freely",
  split: (_, servers) => ({ free: servers, permitted: [] }),
  permitCount: () => 0,
  takePermit: () => undefined,
  maySend: () => true,
  beginCall: () => UNCOUNTED_CALL,
};
