/**
 * Checks the nine invariants of a random-fault run, and that the cluster has
 * recovered after the last fault.
 *
 * @module
 */

import type { Cluster } from "@sassafrasstage/stand-ins/cluster/cluster";
import { setTimeout as sleep } from "node:timers/promises";
import {
  readConfiguration,
  readStatus,
  waitForGeneration,
} from "../support/daemon_status.js";
import { sendRequest } from "../support/load_generator.js";
import {
  isAnswered,
  type LoggedRequest,
  summarize,
} from "../support/request_log.js";
import {
  findViolations,
  type ServerRecord,
} from "../support/find_violations.js";
import type { FaultHistory, Interval, OutOfServiceInterval } from "./fault.js";

export interface RunEvidence {
  readonly requests: readonly LoggedRequest[];
  readonly records: readonly ServerRecord[];
  readonly history: FaultHistory;
  readonly rollbacks: readonly string[];
}

/**
 * Design targets: what is taken out of service gets no new work after 3 s, and
 * an accepted configuration is in force at every daemon within 5 s.
 */
const STOP_WITHIN_MS = 3000;
const IN_FORCE_WITHIN_MS = 5000;
/** Time within which a caller detects that its VM was killed. */
const KILL_DETECTION_MS = 500;
/** Longer than the lifetime of any permit held by a killed VM. */
const PERMIT_EXPIRY_WAIT_MS = 6000;
const PROBE_COUNT = 100;
const PROBE_INTERVAL_MS = 20;
const MIN_ANSWERED = 99;

export function findRunViolations(evidence: RunEvidence): string[] {
  const { requests, records, history, rollbacks } = evidence;
  return [
    ...findViolations(requests, records),
    ...findUnexplainedBrokenConnections(requests, history),
    ...history.outOfServiceIntervals.flatMap((interval) =>
      findCallsWhileOutOfService(interval, evidence)
    ),
    ...history.failedShutdowns,
    ...rollbacks,
  ];
}

/**
 * Checks, after the last fault, that all daemons have the same configuration
 * and that requests are served again.
 */
export async function findRecoveryViolations(
  cluster: Cluster,
): Promise<string[]> {
  return [
    ...await findConfigurationDifferences(cluster),
    ...await findUnservedProbes(cluster),
  ];
}

/** Only callers of a VM that was killed may lose their connection. */
function findUnexplainedBrokenConnections(
  requests: readonly LoggedRequest[],
  history: FaultHistory,
): string[] {
  return requests
    .filter(({ result }) => result.kind === "broken")
    .filter(({ vmId, sentAtMs, result }) =>
      !history.kills.some((kill) =>
        kill.vmId === vmId && kill.atMs >= sentAtMs - KILL_DETECTION_MS &&
        kill.atMs <= sentAtMs + result.latencyMs + KILL_DETECTION_MS
      )
    )
    .map(({ marker, vmId, pipeline, sentAtMs, result }) =>
      `${marker} (${pipeline}) sent at ${new Date(sentAtMs).toISOString()}: ` +
      `connection to ${vmId}, which was not killed, broke after ${result.latencyMs} ms` +
      (result.kind === "broken" ? `: ${result.message}` : "")
    );
}

function findCallsWhileOutOfService(
  interval: OutOfServiceInterval,
  evidence: RunEvidence,
): string[] {
  const stopInterval: Interval = {
    fromMs: interval.fromMs,
    toMs: interval.fromMs + STOP_WITHIN_MS,
  };
  // An isolated data centre can't receive the change, so it isn't checked.
  if (
    evidence.history.isolations.some((span) =>
      areOverlapping(span, stopInterval)
    )
  ) {
    return [];
  }
  const untilMs = interval.toMs ?? Infinity;
  return evidence.records.filter((record) => isAffected(record, interval))
    .flatMap(
      (record) =>
        record.entries
          .filter((entry) =>
            entry.arrivedAtMs > interval.fromMs + STOP_WITHIN_MS &&
            entry.arrivedAtMs < untilMs
          )
          .map((entry) =>
            `${record.id} received a call ${
              entry.arrivedAtMs - interval.fromMs
            } ms after ` +
            `${interval.name} was taken out of service`
          ),
    );
}

function isAffected(
  record: ServerRecord,
  interval: OutOfServiceInterval,
): boolean {
  switch (interval.kind) {
    case "dataCentre":
      return record.dataCentre === interval.name;
    case "backendServer":
      return record.id === interval.name;
  }
}

function areOverlapping(a: Interval, b: Interval): boolean {
  return a.fromMs <= (b.toMs ?? Infinity) && b.fromMs <= (a.toMs ?? Infinity);
}

async function findConfigurationDifferences(
  cluster: Cluster,
): Promise<string[]> {
  const statuses = await Promise.all(cluster.daemons.map(readStatus));
  const newest = Math.max(...statuses.map((status) => status.generation));
  try {
    await Promise.all(
      cluster.daemons.map((daemon) =>
        waitForGeneration(daemon, newest, IN_FORCE_WITHIN_MS)
      ),
    );
  } catch (error) {
    return [String(error)];
  }
  const contents = await Promise.all(cluster.daemons.map(readConfiguration));
  if (new Set(contents).size === 1) return [];
  return [`The daemons have different configurations in generation ${newest}`];
}

async function findUnservedProbes(cluster: Cluster): Promise<string[]> {
  await sleep(PERMIT_EXPIRY_WAIT_MS);
  const probes: Promise<LoggedRequest>[] = [];
  for (let index = 0; index < PROBE_COUNT; index++) {
    const daemon = cluster.daemons[index % cluster.daemons.length];
    if (daemon === undefined) break;
    probes.push(sendRequest(cluster, {
      marker: `<<probe-${index}>>`,
      pipeline: "lookup",
      vmId: daemon.vmId,
    }));
    await sleep(PROBE_INTERVAL_MS);
  }
  const requests = await Promise.all(probes);
  if (requests.filter(isAnswered).length >= MIN_ANSWERED) return [];
  return [
    `Outcomes of ${PROBE_COUNT} probes after recovery: ${summarize(requests)}`,
  ];
}
