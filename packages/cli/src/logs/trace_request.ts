/**
 * Collects the log lines about one request from the logs of several VMs.
 *
 * @module
 */

import type { LogLine } from "./parse_log_line.js";

/** Events that change a VM's view of the fleet, regardless of any request. */
const STATE_EVENTS: ReadonlySet<string> = new Set([
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
/**
 * State events that precede the request's first line by up to this time may
 * still affect it.
 */
const CONTEXT_BEFORE_MS = 2000;

/**
 * Returns the lines that contain the request's id, sorted by time.
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
  return sortByTime(lines.filter((line) => mentionsRequest(line, requestId)));
}

/**
 * Adds to the trace the state events of its VMs in the same period, and the
 * configuration version that each VM had adopted before.
 */
export function addContext(
  lines: readonly LogLine[],
  trace: readonly LogLine[],
): LogLine[] {
  const [first] = trace;
  const last = trace.at(-1);
  if (first === undefined || last === undefined) return [];
  const vms = new Set(trace.map((line) => line.vm));
  const contextStartMs = first.timestampMs - CONTEXT_BEFORE_MS;
  const stateLines = sortByTime(
    lines.filter((line) =>
      vms.has(line.vm) && isStateEvent(line) &&
      line.timestampMs <= last.timestampMs
    ),
  );
  const inForce = [...vms].flatMap((vm) =>
    stateLines.filter((line) =>
      line.vm === vm && line.event === "configurationAdopted" &&
      line.timestampMs < contextStartMs
    ).slice(-1)
  );
  const recent = stateLines.filter((line) =>
    line.timestampMs >= contextStartMs
  );
  return sortByTime([...inForce, ...recent, ...trace]);
}

function mentionsRequest(line: LogLine, requestId: string): boolean {
  if (line.fields.get("request") === requestId) return true;
  const requests = line.fields.get("requests")?.split(",") ?? [];
  return requests.includes(requestId);
}

function isStateEvent({ event }: LogLine): boolean {
  return STATE_EVENTS.has(event) || event.startsWith(SERVER_EVENT_PREFIX);
}

function sortByTime(lines: readonly LogLine[]): LogLine[] {
  return [...lines].sort((a, b) => a.timestampMs - b.timestampMs);
}
