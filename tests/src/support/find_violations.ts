/**
 * Checks the invariants of a run against the results of the callers and the
 * records of the stand-ins. Each function returns a message per violation.
 *
 * @module
 */

import type { BackendServerRecord } from "@sassafrasstage/stand-ins/backend_servers/backend_server_core";
import type { NumberedOutput } from "@sassafrasstage/stand-ins/backend_servers/plain_service_stand_in";
import type { RunEntry } from "@sassafrasstage/stand-ins/backend_servers/run_log";
import type { Cluster } from "@sassafrasstage/stand-ins/cluster/cluster";
import { expectedAnswer } from "./expected_answer.js";
import { isAnswered, type LoggedRequest } from "./request_log.js";

/** The record of a stand-in, with its id, service and data centre. */
export interface ServerRecord extends BackendServerRecord {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
}

export async function readRecords(cluster: Cluster): Promise<ServerRecord[]> {
  return await Promise.all(cluster.servers.map(async (server) => ({
    ...await server.record(),
    id: server.id,
    service: server.service,
    dataCentre: server.dataCentre,
  })));
}

/** Finds answers that differ from the expected answer to their request. */
export function findWrongAnswers(
  requests: readonly LoggedRequest[],
): string[] {
  return requests.filter(isAnswered).flatMap((request) => {
    const { answer, tokens } = request.result;
    const expected = expectedAnswer(request.pipeline, request.input);
    const received = withoutNumber(answer.output);
    const violations: string[] = [];
    if (JSON.stringify(received) !== JSON.stringify(expected)) {
      violations.push(
        `${request.marker} was answered with ${JSON.stringify(answer.output)}`,
      );
    }
    if (tokens.length > 0 && tokens.join("") !== answer.output) {
      violations.push(
        `${request.marker} streamed other tokens: ${JSON.stringify(tokens)}`,
      );
    }
    return violations;
  });
}

/** Finds non-idempotent operations that ran more than once for a request. */
export function findDuplicateRuns(records: readonly ServerRecord[]): string[] {
  return [...groupIssueRuns(records)]
    .filter(([, entries]) => entries.length > 1)
    .map(([marker, entries]) => `${marker} ran ${entries.length} times`);
}

/** Finds requests that were refused as not run although they ran. */
export function findFalseNotRunRefusals(
  requests: readonly LoggedRequest[],
  records: readonly ServerRecord[],
): string[] {
  const issueRuns = groupIssueRuns(records);
  const mayHaveRun = new Set(
    requests.filter((request) => !isRefusedAsNotRun(request))
      .map((request) => request.marker),
  );
  // Of a request that was sent twice, the other copy may have run.
  return requests
    .filter(({ marker }) => !mayHaveRun.has(marker) && issueRuns.has(marker))
    .map(({ marker }) => `${marker} was refused as not run, but ran`);
}

function isRefusedAsNotRun({ result }: LoggedRequest): boolean {
  return result.kind === "problem" && result.problem.notRun;
}

/** Finds answers with a number that wasn't issued for their request. */
export function findMismatchedNumbers(
  requests: readonly LoggedRequest[],
  records: readonly ServerRecord[],
): string[] {
  const issueRuns = groupIssueRuns(records);
  return requests.filter(isAnswered)
    .filter((request) => request.pipeline === "issue")
    .flatMap(({ marker, result }) => {
      const { number } = result.answer.output as NumberedOutput;
      const numbers = issueRuns.get(marker)?.map((entry) => entry.number) ?? [];
      if (numbers.includes(number)) return [];
      return [
        `${marker} was answered with number ${number}, which wasn't issued for it`,
      ];
    });
}

/** Finds backend servers that exceeded their limit while cold. */
export function findColdOverloads(records: readonly ServerRecord[]): string[] {
  return records.flatMap((record) =>
    (record.overloads ?? []).map((overload) => {
      const { atMs, isSuddenlyCold, firstSign, inFlight } = overload;
      const agesMs = inFlight.map((entry) => atMs - entry.arrivedAtMs);
      const sign = firstSign === undefined
        ? ""
        : ` (first sign: ${firstSign.kind}, ${atMs - firstSign.atMs} ms ago)`;
      return `${record.id} overloaded at ${new Date(atMs).toISOString()}` +
        `${isSuddenlyCold ? " after turning cold" : ""}${sign}, ` +
        `calls in flight for ${agesMs.join(", ")} ms`;
    })
  );
}

/** Finds calls that arrived at the servers after a point in time. */
export function findArrivalsAfter(
  records: readonly ServerRecord[],
  afterMs: number,
): string[] {
  return records.flatMap((record) =>
    record.entries
      .filter((entry) => entry.arrivedAtMs > afterMs)
      .map((entry) =>
        `${record.id} received a call ${entry.arrivedAtMs - afterMs} ms late`
      )
  );
}

/** Finds requests whose connection broke before an answer or a refusal. */
export function findBrokenConnections(
  requests: readonly LoggedRequest[],
): string[] {
  return requests
    .filter(({ result }) => result.kind === "broken")
    .map(({ marker, vmId }) => `${marker}: connection broke at ${vmId}`);
}

/** Checks the invariants that hold in every test, under any faults. */
export function findViolations(
  requests: readonly LoggedRequest[],
  records: readonly ServerRecord[],
): string[] {
  return [
    ...findWrongAnswers(requests),
    ...findDuplicateRuns(records),
    ...findFalseNotRunRefusals(requests, records),
    ...findMismatchedNumbers(requests, records),
    ...findColdOverloads(records),
  ];
}

function groupIssueRuns(
  records: readonly ServerRecord[],
): Map<string, RunEntry[]> {
  const issueRuns = new Map<string, RunEntry[]>();
  for (const entry of records.flatMap((record) => record.entries)) {
    if (entry.operation !== "issue" || entry.marker === undefined) continue;
    const entries = issueRuns.get(entry.marker) ?? [];
    entries.push(entry);
    issueRuns.set(entry.marker, entries);
  }
  return issueRuns;
}

function withoutNumber(output: unknown): unknown {
  if (typeof output !== "object" || output === null) return output;
  const entries = Object.entries(output).filter(([name]) => name !== "number");
  return Object.fromEntries(entries);
}
