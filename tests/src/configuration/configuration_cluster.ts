/**
 * A cluster for tests of the configuration, and what they ask of it.
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

/** The stated target: an accepted change is in force everywhere. */
export const IN_FORCE_TARGET_MS = 5000;
const POLL_INTERVAL_MS = 20;
const PLATFORM_TIMEOUT_MS = 20_000;

/** Two data centres of three entry VMs behind proxies. */
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

/** The body of an accepted change. */
export interface AcceptedChange {
  readonly generation: number;
  readonly changeId: string;
}

/** The generation of an accepted change; fails on a refusal. */
export function acceptedGeneration(answer: AdminAnswer): number {
  if (answer.status === 200) return (answer.body as AcceptedChange).generation;
  throw new Error(`Refused: ${JSON.stringify(answer.body)}`);
}

/** The configuration with another pipeline deadline, to be told apart by. */
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

/** What `markConfiguration` put in, as the daemon has it in force. */
export async function readPipelineDeadline(daemon: DaemonHandle): Promise<number> {
  const answer = await daemon.admin("/admin/v1/configuration");
  const { rules } = answer.body as SubmittedConfiguration;
  return (rules.pipelines[0] as { deadlineMs: number }).deadlineMs;
}

/** The generation in force at the daemon, by its own word. */
export async function readGeneration(daemon: DaemonHandle): Promise<number> {
  const answer = await daemon.admin("/admin/v1/status");
  return (answer.body as { generation: number }).generation;
}

/** The names of the daemons without the generation when the time is over. */
export async function findLateDaemons(
  daemons: readonly DaemonHandle[],
  generation: number,
): Promise<string[]> {
  const endAtMs = performance.now() + IN_FORCE_TARGET_MS;
  for (;;) {
    const late: string[] = [];
    for (const daemon of daemons) {
      if (await readGeneration(daemon) < generation) late.push(daemon.vmId);
    }
    if (late.length === 0 || performance.now() > endAtMs) return late;
    await sleep(POLL_INTERVAL_MS);
  }
}

/** The generations that came into force in one process, as it logged them. */
export function readAdoptedGenerations(daemon: DaemonHandle): number[][] {
  const processes: number[][] = [];
  for (const line of daemon.readLog().split("\n")) {
    if (line.includes(" event=started ")) processes.push([]);
    const match = / event=configurationAdopted .*\bgeneration=(\d+)/.exec(line);
    if (match !== null) processes.at(-1)?.push(Number(match[1]));
  }
  return processes;
}

/** Posts a change to an administration path. */
export function post(
  daemon: DaemonHandle,
  path: string,
  body: object = {},
): Promise<AdminAnswer> {
  return daemon.admin(`/admin/v1/${path}`, { method: "POST", body });
}

/** Waits until every daemon can read the platform. */
export async function waitUntilPlatformIsReachable(
  cluster: Cluster,
): Promise<void> {
  const endAtMs = performance.now() + PLATFORM_TIMEOUT_MS;
  for (const daemon of cluster.daemons) {
    for (;;) {
      const { status } = await daemon.admin("/admin/v1/configuration/history");
      if (status === 200) break;
      if (performance.now() > endAtMs) {
        throw new Error(`${daemon.vmId} doesn't reach the platform`);
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }
}

/** The daemon, by number from the first of the plan. */
export function daemonAt(cluster: Cluster, index: number): DaemonHandle {
  const daemon = cluster.daemons[index];
  if (daemon === undefined) throw new Error(`No daemon ${index}`);
  return daemon;
}
