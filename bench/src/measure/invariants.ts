/**
 * Judges a run by the stand-ins' own records.
 *
 * @module
 */

import type { BackendServerRecord } from "@sassafrasstage/stand-ins/backend_servers/backend_server_core";
import { makeMarker } from "@sassafrasstage/stand-ins/backend_servers/expected_output";
import { groupBy } from "../load/group_by.js";
import type { LoadRecord } from "../load/load_record.js";

/** What one stand-in backend server saw. */
export interface ServerRecord extends BackendServerRecord {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
}

export interface InvariantCounts {
  /** Non-idempotent requests that ran more than once. */
  readonly ranTwice: number;
  /** Requests refused as "not run" of which a non-idempotent call ran. */
  readonly untrueNotRun: number;
  readonly wrongAnswers: number;
  /** Calls above the cold limit that made a backend server fall over. */
  readonly coldOverloads: number;
}

/**
 * Counts what must never be.
 *
 * @example
 * ```ts
 * const counts = countInvariantBreaks(records, servers);
 * ```
 */
export function countInvariantBreaks(
  records: readonly LoadRecord[],
  servers: readonly ServerRecord[],
): InvariantCounts {
  const numberedRuns = groupBy(
    servers.flatMap((server) => server.entries)
      .filter((entry) => entry.number !== undefined),
    (entry) => entry.marker ?? "",
  );
  const refusedNotRun = records.filter(({ outcome }) =>
    outcome.kind === "refused" && outcome.notRun
  );
  return {
    ranTwice: [...numberedRuns.values()].filter((runs) => runs.length > 1)
      .length,
    untrueNotRun: refusedNotRun
      .filter(({ serial }) => numberedRuns.has(markerOf(serial)))
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
 * markerOf(17); // "<<r-17>>"
 * ```
 */
export function markerOf(serial: number): string {
  return makeMarker(`r-${serial}`);
}

export interface DepartureWindow {
  readonly dataCentre: string;
  /** Wall-clock times. */
  readonly fromMs: number;
  readonly toMs: number;
}

/**
 * Calls that reached a data centre's backend servers in a span of time.
 *
 * @example
 * ```ts
 * countArrivals(servers, { dataCentre: "catania", fromMs, toMs });
 * ```
 */
export function countArrivals(
  servers: readonly ServerRecord[],
  window: DepartureWindow,
): number {
  return servers
    .filter((server) => server.dataCentre === window.dataCentre)
    .flatMap((server) => server.entries)
    .filter(({ arrivedAtMs }) =>
      arrivedAtMs >= window.fromMs && arrivedAtMs < window.toMs
    ).length;
}
