/**
 * Faults that the random-fault run brings about, and the state it shares.
 *
 * @module
 */

import type { Cluster } from "@sassafrasstage/stand-ins/cluster/cluster";
import type { SeededRandom } from "@sassafrasstage/stand-ins/random/seeded_random";

/** A stretch of wall-clock time; open while `toMs` is undefined. */
export interface Interval {
  readonly fromMs: number;
  toMs?: number;
}

/** A data centre or backend server while it is out of service. */
export interface OutOfServiceInterval extends Interval {
  readonly kind: "dataCentre" | "backendServer";
  readonly name: string;
}

/** A kill of a daemon, after which its callers may lose their connection. */
export interface DaemonKill {
  readonly vmId: string;
  readonly atMs: number;
}

/** What the faults tell the checks. */
export interface FaultHistory {
  readonly kills: DaemonKill[];
  readonly outOfServiceIntervals: OutOfServiceInterval[];
  /** Nothing new of the configuration can reach some data centre. */
  readonly isolations: Interval[];
  /** Ends of graceful shutdowns other than exit 0. */
  readonly failedShutdowns: string[];
}

export interface FaultContext {
  readonly cluster: Cluster;
  readonly random: SeededRandom;
  readonly history: FaultHistory;
  /** Daemons that some fault has its hands on. */
  readonly faultyDaemons: Set<string>;
  /** Network and platform faults that are on, by name. */
  readonly connectivityFaults: Set<string>;
}

/** A fault that is on. */
export interface ActiveFault {
  readonly description: string;
  readonly durationMs: number;
  end(): Promise<void>;
}

/** Brings a fault about; undefined when the present state rules it out. */
export type FaultInjector = (
  context: FaultContext,
) => Promise<ActiveFault | undefined>;
