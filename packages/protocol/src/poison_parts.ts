/**
 * What daemons tell each other about prompt parts that may crash engines.
 *
 * @module
 */

import type { BackendServerId, SuspectId } from "./ids.js";

/** The end of one server process under calls that weren't proven sound. */
export interface CrashReport {
  readonly server: BackendServerId;
  /** Start time of the process; tells the processes of one server apart. */
  readonly startedAt?: number | undefined;
  readonly ageMs: number;
  /** The parts of the calls that were in flight at the sender. */
  readonly parts: readonly SuspectId[];
}

/** The latest time at which a server has run a request with the part. */
export interface PartSuccess {
  readonly part: SuspectId;
  readonly ageMs: number;
}

export interface PoisonPartNews {
  readonly crashes: readonly CrashReport[];
  /** Only of parts that crash reports accuse. */
  readonly successes: readonly PartSuccess[];
}
