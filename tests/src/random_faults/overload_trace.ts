/**
 * The trace of an overload during a cold start: what the server showed to its
 * callers, and what each daemon knew and granted, in order of time.
 *
 * @module
 */

import type { ColdOverload } from "@sassafrasstage/stand-ins/backend_servers/backend_server_core";
import { classifyOverload } from "./overload_class.js";
import type { ServerRecord } from "../support/find_violations.js";

/** The log of one daemon. */
export interface DaemonLog {
  readonly vmId: string;
  readonly text: string;
}

export interface TraceSources {
  readonly logs: readonly DaemonLog[];
  /** Faults with their wall-clock times, as injected. */
  readonly faults: readonly TimedLine[];
}

export interface TimedLine {
  readonly atMs: number;
  readonly text: string;
}

/** How far a trace goes back from its overload. */
const TRACE_MS = 12_000;
const LOG_LINE = /^time=(\S+) level=\S+ (event=.*)$/;
/** Events that concern all servers of a daemon's pools. */
const DAEMON_EVENTS =
  /event=(poolTaken|poolGivenUp|pausedPastLease|daemonStarted)/;

/** Returns one trace for each overload in the records. */
export function traceOverloads(
  records: readonly ServerRecord[],
  sources: TraceSources,
): string[] {
  return records.flatMap((record) =>
    (record.overloads ?? []).map((overload) =>
      traceOverload(record, overload, sources)
    )
  );
}

function traceOverload(
  record: ServerRecord,
  overload: ColdOverload,
  sources: TraceSources,
): string {
  const { atMs } = overload;
  const lines = [
    ...readServerLines(record, overload),
    ...sources.logs.flatMap((log) => readLogLines(log, record)),
    ...sources.faults,
  ]
    .filter((line) => line.atMs >= atMs - TRACE_MS && line.atMs <= atMs + 100)
    .sort((a, b) => a.atMs - b.atMs)
    .map((line) => `${String(line.atMs - atMs).padStart(6)} ms ${line.text}`);
  const inFlight = overload.inFlight.map((entry) => entry.requestId).join(", ");
  return [
    `trace of ${record.id}, overloaded at ${new Date(atMs).toISOString()}`,
    `class=${classifyOverload(overload.events, atMs)}`,
    `call above the limit: ${overload.requestId}, in flight: ${inFlight}`,
    ...lines,
  ].join("\n");
}

function readServerLines(
  record: ServerRecord,
  overload: ColdOverload,
): TimedLine[] {
  return overload.events.map(({ atMs, kind, requestId, inFlight }) => ({
    atMs,
    text: `${record.id} ${kind} ${requestId ?? ""} inFlight=${inFlight}`,
  }));
}

function readLogLines(log: DaemonLog, record: ServerRecord): TimedLine[] {
  return log.text.split("\n").flatMap((line) => {
    const [, time, rest] = LOG_LINE.exec(line) ?? [];
    if (time === undefined || rest === undefined) return [];
    const isOfServer = rest.includes(`server=${record.id} `);
    const isOfPool = DAEMON_EVENTS.test(rest) &&
      (!rest.includes("pool=") ||
        rest.includes(`${record.service}@${record.dataCentre}`));
    if (!isOfServer && !isOfPool) return [];
    return [{ atMs: Date.parse(time), text: `${log.vmId} ${rest}` }];
  });
}
