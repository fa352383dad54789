/**
 * Faults that the random-fault run brings about, and the state it shares.
 *
 * @module
 */

import type { Cluster } from "@sassafrasstage/stand-ins/cluster/cluster";
import type { SeededRandom } from "@sassafrasstage/stand-ins/random/seeded_random";

/** A stretch of wall-clock time; open while `toMs` is undefined. */
export interface Span {
  readonly fromMs: number;
  toMs?: number;
}

/** A data centre or backend server while it is out of service. */
export interface OutSpan extends Span {
  readonly kind: "dataCentre" | "backendServer";
  readonly name: string;
}

/** A kill of a daemon, after which its callers may lose their connection. */
export interface KillTime {
  readonly vmId: string;
  readonly atMs: number;
}

/** What the faults tell the checks. */
export interface FaultHistory {
  readonly kills: KillTime[];
  readonly outs: OutSpan[];
  /** Nothing new of the configuration can reach some data centre. */
  readonly isolations: Span[];
  /** Ends of graceful shutdowns other than exit 0. */
  readonly badExits: string[];
}

export interface FaultContext {
  readonly cluster: Cluster;
  readonly random: SeededRandom;
  readonly history: FaultHistory;
  /** Daemons that some fault has its hands on. */
  readonly disturbed: Set<string>;
  /** Network and platform faults that are on, by name. */
  readonly cuts: Set<string>;
}

/** A fault that is on. */
export interface ActiveFault {
  readonly description: string;
  readonly durationMs: number;
  end(): Promise<void>;
}

/** Brings a fault about; undefined when the present state rules it out. */
export type FaultKind = (
  context: FaultContext,
) => Promise<ActiveFault | undefined>;
