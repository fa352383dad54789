/**
 * Gathers what the logs of several VMs say of one request.
 *
 * @module
 */

import type { LogLine } from "./parse_log_line.js";

/** Events that change what a VM believes, whatever the request. */
const BELIEF_EVENTS: ReadonlySet<string> = new Set([
  "configurationAdopted",
  "configurationIgnored",
  "dataCentresOut",
  "logLinesDropped",
  "objectsFromPeer",
  "peerConnected",
  "peerDisconnected",
  "platformLost",
  "platformRegained",
  "shutdownStarted",
  "stageCoordinatorLost",
  "started",
  "unreadableObject",
]);
const SERVER_EVENT_PREFIX = "server_";
/** Beliefs from so long before the request's first line may still matter. */
const CONTEXT_BEFORE_MS = 2000;

/**
 * The request's own lines, in order of time.
 *
 * @example
 * ```ts
 * const lines = traceRequest(parsed, "9c41d07be2a35f68");
 * ```
 */
export function traceRequest(
  lines: readonly LogLine[],
  requestId: string,
): LogLine[] {
  return inOrder(lines.filter((line) => concerns(line, requestId)));
}

/**
 * The trace with what the VMs in it came to believe meanwhile, and the version
 * that each had in force before.
 */
export function addContext(
  lines: readonly LogLine[],
  trace: readonly LogLine[],
): LogLine[] {
  const [first] = trace;
  const last = trace.at(-1);
  if (first === undefined || last === undefined) return [];
  const vms = new Set(trace.map((line) => line.vm));
  const fromMs = first.atMs - CONTEXT_BEFORE_MS;
  const beliefs = inOrder(
    lines.filter((line) =>
      vms.has(line.vm) && isBelief(line) && line.atMs <= last.atMs
    ),
  );
  const inForce = [...vms].flatMap((vm) =>
    beliefs.filter((line) =>
      line.vm === vm && line.event === "configurationAdopted" &&
      line.atMs < fromMs
    ).slice(-1)
  );
  const recent = beliefs.filter((line) => line.atMs >= fromMs);
  return inOrder([...inForce, ...recent, ...trace]);
}

function concerns(line: LogLine, requestId: string): boolean {
  if (line.fields.get("request") === requestId) return true;
  const requests = line.fields.get("requests")?.split(",") ?? [];
  return requests.includes(requestId);
}

function isBelief({ event }: LogLine): boolean {
  return BELIEF_EVENTS.has(event) || event.startsWith(SERVER_EVENT_PREFIX);
}

function inOrder(lines: readonly LogLine[]): LogLine[] {
  return [...lines].sort((a, b) => a.atMs - b.atMs);
}
