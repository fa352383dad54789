/**
 * Types of the faults that the random-fault run injects, and of the state that
 * they share.
 *
 * @module
 */

import type { Cluster } from "@sassafrasstage/stand-ins/cluster/cluster";
import type { SeededRandom } from "@sassafrasstage/stand-ins/random/seeded_random";

/** An interval of wall-clock time; ongoing while `toMs` is undefined. */
export interface Interval {
  readonly fromMs: number;
  toMs?: number;
}

/** An interval in which a data centre or backend server is out of service. */
export interface OutOfServiceInterval extends Interval {
  readonly kind: "dataCentre" | "backendServer";
  readonly name: string;
}

/** A kill of a daemon, after which its callers may lose their connection. */
export interface DaemonKill {
  readonly vmId: string;
  readonly atMs: number;
}

/** The injected faults and their effects, as input to the checks. */
export interface FaultHistory {
  readonly kills: DaemonKill[];
  readonly outOfServiceIntervals: OutOfServiceInterval[];
  /** Intervals in which configuration changes can't reach some data centre. */
  readonly isolations: Interval[];
  /** Graceful shutdowns that did not exit with code 0. */
  readonly failedShutdowns: string[];
}

export interface FaultContext {
  readonly cluster: Cluster;
  readonly random: SeededRandom;
  readonly history: FaultHistory;
  /** VM ids of the daemons that a fault currently affects. */
  readonly faultyDaemons: Set<string>;
  /** Names of the active faults of the network and the platform. */
  readonly connectivityFaults: Set<string>;
}

/** A fault that has been injected and not yet ended. */
export interface ActiveFault {
  readonly description: string;
  readonly durationMs: number;
  end(): Promise<void>;
}

/** Injects a fault; returns undefined if the current state doesn't allow it. */
export type FaultInjector = (
  context: FaultContext,
) => Promise<ActiveFault | undefined>;
