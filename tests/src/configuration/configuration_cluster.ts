/**
 * The cluster of the configuration tests, and helpers to change and read its
 * configuration.
 *
 * @module
 */

import type { ClusterPlan } from "@sassafrasstage/stand-ins/cluster/cluster_plan";
import type { Cluster } from "@sassafrasstage/stand-ins/cluster/cluster";
import type {
  AdminAnswer,
  DaemonHandle,
} from "@sassafrasstage/stand-ins/cluster/daemon_handle";
import type { SubmittedConfiguration } from "@sassafrasstage/stand-ins/cluster/planned_configuration";
import { setTimeout as sleep } from "node:timers/promises";

/** Design target: time until an accepted change is in force at every daemon. */
export const IN_FORCE_WITHIN_MS = 5000;
const POLL_INTERVAL_MS = 20;
const PLATFORM_TIMEOUT_MS = 20_000;

/** Two data centres with three entry VMs each, behind proxies. */
export const CLUSTER_PLAN: ClusterPlan = {
  dataCentres: [
    { name: "palermo", entryVmCount: 3 },
    { name: "catania", entryVmCount: 3 },
  ],
  services: [
    {
      name: "registry",
      kind: "plain",
      serversPerDataCentre: 1,
      warmLimit: 4,
      coldLimit: 1,
    },
    {
      name: "writer",
      kind: "modelEngine",
      serversPerDataCentre: 1,
      warmLimit: 4,
      coldLimit: 1,
    },
  ],
  pipelines: [
    {
      name: "look",
      urgency: "counter",
      deadlineMs: 5000,
      stages: [{ name: "look", service: "registry", operation: "look" }],
    },
    {
      name: "write",
      urgency: "deferrable",
      deadlineMs: 20_000,
      stages: [{
        name: "write",
        service: "writer",
        operation: "completions",
        maxTokens: 8,
      }],
    },
  ],
  clientAccounts: [{ id: "boutique", key: "boutique-key" }],
  isProxied: true,
};

/** The response body of an accepted change. */
export interface AcceptedChange {
  readonly generation: number;
  readonly changeId: string;
}

/** Returns the generation of an accepted change; throws if it was refused. */
export function acceptedGeneration(answer: AdminAnswer): number {
  if (answer.status === 200) return (answer.body as AcceptedChange).generation;
  throw new Error(`The change was refused: ${JSON.stringify(answer.body)}`);
}

/** Sets the deadline of all pipelines, which identifies the configuration. */
export function withPipelineDeadline(
  configuration: SubmittedConfiguration,
  deadlineMs: number,
): SubmittedConfiguration {
  const pipelines = configuration.rules.pipelines.map((pipeline) => ({
    ...(pipeline as object),
    deadlineMs,
  }));
  return { ...configuration, rules: { ...configuration.rules, pipelines } };
}

/** Reads the deadline set by `withPipelineDeadline` that is in force. */
export async function readPipelineDeadline(
  daemon: DaemonHandle,
): Promise<number> {
  const answer = await daemon.admin("/admin/v1/configuration");
  const { rules } = answer.body as SubmittedConfiguration;
  return (rules.pipelines[0] as { deadlineMs: number }).deadlineMs;
}

/** Reads the generation in force from the daemon's status. */
export async function readGeneration(daemon: DaemonHandle): Promise<number> {
  const answer = await daemon.admin("/admin/v1/status");
  return (answer.body as { generation: number }).generation;
}

/**
 * Waits up to `IN_FORCE_WITHIN_MS` until the daemons have the generation, or a
 * later one, in force; returns the VM ids of those that don't.
 */
export async function findLateDaemons(
  daemons: readonly DaemonHandle[],
  generation: number,
): Promise<string[]> {
  const endAtMs = performance.now() + IN_FORCE_WITHIN_MS;
  for (;;) {
    const late: string[] = [];
    for (const daemon of daemons) {
      if (await readGeneration(daemon) < generation) late.push(daemon.vmId);
    }
    if (late.length === 0 || performance.now() > endAtMs) return late;
    await sleep(POLL_INTERVAL_MS);
  }
}

/** Reads from the log which generations came into force, for each process. */
export function readAdoptedGenerations(daemon: DaemonHandle): number[][] {
  const processes: number[][] = [];
  for (const line of daemon.readLog().split("\n")) {
    if (line.includes(" event=started ")) processes.push([]);
    const match = / event=configurationAdopted .*\bgeneration=(\d+)/.exec(line);
    if (match !== null) processes.at(-1)?.push(Number(match[1]));
  }
  return processes;
}

/** Posts to a path of the administration API. */
export function post(
  daemon: DaemonHandle,
  path: string,
  body: object = {},
): Promise<AdminAnswer> {
  return daemon.admin(`/admin/v1/${path}`, { method: "POST", body });
}

/** Waits until every daemon can read from the platform. */
export async function waitUntilPlatformIsReachable(
  cluster: Cluster,
): Promise<void> {
  const endAtMs = performance.now() + PLATFORM_TIMEOUT_MS;
  for (const daemon of cluster.daemons) {
    for (;;) {
      const { status } = await daemon.admin("/admin/v1/configuration/history");
      if (status === 200) break;
      if (performance.now() > endAtMs) {
        throw new Error(`${daemon.vmId} can't reach the platform`);
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }
}

/** Returns a daemon by its zero-based position in the plan. */
export function daemonAt(cluster: Cluster, index: number): DaemonHandle {
  const daemon = cluster.daemons[index];
  if (daemon === undefined) throw new Error(`No daemon at index ${index}`);
  return daemon;
}
