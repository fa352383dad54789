/**
 * Checks a run's invariants against the calls that the stand-ins recorded.
 *
 * @module
 */

import type { BackendServerRecord } from "@sassafrasstage/stand-ins/backend_servers/backend_server_core";
import { makeMarker } from "@sassafrasstage/stand-ins/backend_servers/expected_output";
import { groupBy } from "../load/group_by.js";
import type { LoadRecord } from "../load/load_record.js";

/** The calls that one stand-in backend server recorded. */
export interface ServerRecord extends BackendServerRecord {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
}

export interface InvariantCounts {
  /** Non-idempotent requests that ran more than once. */
  readonly ranTwice: number;
  /** Requests refused as not run although a non-idempotent call ran. */
  readonly untrueNotRun: number;
  readonly wrongAnswers: number;
  /** Calls above the cold limit that overloaded a backend server. */
  readonly coldOverloads: number;
}

/**
 * Counts the violations of the invariants.
 *
 * @example
 * ```ts
 * const counts = countInvariantViolations(records, servers);
 * ```
 */
export function countInvariantViolations(
  records: readonly LoadRecord[],
  servers: readonly ServerRecord[],
): InvariantCounts {
  const numberedRunsByMarker = groupBy(
    servers.flatMap((server) => server.entries)
      .filter((entry) => entry.number !== undefined),
    (entry) => entry.marker ?? "",
  );
  const refusedNotRun = records.filter(({ outcome }) =>
    outcome.kind === "refused" && outcome.notRun
  );
  return {
    ranTwice:
      [...numberedRunsByMarker.values()].filter((runs) => runs.length > 1)
        .length,
    untrueNotRun: refusedNotRun
      .filter(({ serial }) =>
        numberedRunsByMarker.has(makeRequestMarker(serial))
      )
      .length,
    wrongAnswers: records
      .filter(({ outcome }) => outcome.kind === "wrongAnswer").length,
    coldOverloads: servers
      .reduce((sum, server) => sum + server.coldOverloads, 0),
  };
}

/**
 * The marker of a request, by its serial number.
 *
 * @example
 * ```ts
 * makeRequestMarker(17); // "<<r-17>>"
 * ```
 */
export function makeRequestMarker(serial: number): string {
  return makeMarker(`r-${serial}`);
}

export interface DataCentreWindow {
  readonly dataCentre: string;
  /** Wall-clock times; the window excludes `toMs`. */
  readonly fromMs: number;
  readonly toMs: number;
}

/**
 * Counts the calls that reached a data centre's backend servers in a window.
 *
 * @example
 * ```ts
 * countCallsInWindow(servers, { dataCentre: "catania", fromMs, toMs });
 * ```
 */
export function countCallsInWindow(
  servers: readonly ServerRecord[],
  window: DataCentreWindow,
): number {
  return servers
    .filter((server) => server.dataCentre === window.dataCentre)
    .flatMap((server) => server.entries)
    .filter(({ arrivedAtMs }) =>
      arrivedAtMs >= window.fromMs && arrivedAtMs < window.toMs
    ).length;
}
