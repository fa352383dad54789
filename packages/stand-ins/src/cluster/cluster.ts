/**
 * A test cluster of separate processes: the platform, the backend servers and
 * the daemons.
 *
 * @module
 */

import type { ListedVm } from "@sassafrasstage/protocol/platform_objects";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { LinkMode } from "../proxy/link_mode.js";
import { startBackendFarm } from "./backend_farm.js";
import { Caller } from "./caller.js";
import { type ClusterPlan, planVms } from "./cluster_plan.js";
import {
  type BackendServerControl,
  PlatformControl,
} from "./control_client.js";
import { prepareDaemons } from "./daemon_launch.js";
import type { AdminAnswer, DaemonHandle } from "./daemon_handle.js";
import { ManagedProcess } from "./managed_process.js";
import { ClusterNetwork, PLATFORM_TARGET } from "./network.js";
import {
  planConfiguration,
  type SubmittedConfiguration,
} from "./planned_configuration.js";
import { binPath } from "./program_paths.js";
import { listVms } from "./vm_listing.js";

/** The key of the administration API in every test cluster. */
export const ADMIN_KEY = "operator-key-of-the-harness";

const READY_TIMEOUT_MS = 20_000;

interface ClusterParts {
  readonly plan: ClusterPlan;
  readonly folder: string;
  readonly platform: PlatformControl;
  readonly servers: readonly BackendServerControl[];
  readonly daemons: readonly DaemonHandle[];
  readonly network: ClusterNetwork;
  readonly processes: readonly ManagedProcess[];
  readonly configuration: SubmittedConfiguration;
  readonly vms: readonly ListedVm[];
}

/** A running cluster. */
export class Cluster {
  readonly plan: ClusterPlan;
  readonly platform: PlatformControl;
  readonly servers: readonly BackendServerControl[];
  readonly daemons: readonly DaemonHandle[];
  readonly network: ClusterNetwork;
  readonly caller = new Caller();
  /** The VM list of the platform at the start. */
  readonly vms: readonly ListedVm[];
  /** The configuration that was submitted at the start. */
  readonly configuration: SubmittedConfiguration;
  readonly #folder: string;
  readonly #processes: readonly ManagedProcess[];

  constructor(parts: ClusterParts) {
    this.plan = parts.plan;
    this.platform = parts.platform;
    this.servers = parts.servers;
    this.daemons = parts.daemons;
    this.network = parts.network;
    this.vms = parts.vms;
    this.configuration = parts.configuration;
    this.#folder = parts.folder;
    this.#processes = parts.processes;
  }

  daemon(vmId: string): DaemonHandle {
    return requireFound(
      this.daemons.find((daemon) => daemon.vmId === vmId),
      vmId,
    );
  }

  server(id: string): BackendServerControl {
    return requireFound(this.servers.find((server) => server.id === id), id);
  }

  daemonsIn(dataCentre: string): DaemonHandle[] {
    return this.daemons.filter((daemon) => daemon.dataCentre === dataCentre);
  }

  serversOf(service: string, dataCentre?: string): BackendServerControl[] {
    return this.servers.filter((server) =>
      server.service === service &&
      (dataCentre === undefined || server.dataCentre === dataCentre)
    );
  }

  /** Starts every daemon that isn't running. */
  async startDaemons(): Promise<void> {
    const stopped = this.daemons.filter((daemon) => !daemon.isRunning);
    await Promise.all(stopped.map((daemon) => daemon.start()));
  }

  /** Submits a configuration through a daemon, by default the first one. */
  submitConfiguration(
    configuration: SubmittedConfiguration,
    through: DaemonHandle | undefined = this.daemons[0],
  ): Promise<AdminAnswer> {
    return requireFound(through, "daemon").admin("/admin/v1/configuration", {
      method: "POST",
      body: configuration,
    });
  }

  async waitUntilReady(timeoutMs = READY_TIMEOUT_MS): Promise<void> {
    const running = this.daemons.filter((daemon) => daemon.isRunning);
    await Promise.all(
      running.map((daemon) => daemon.waitUntilReady(timeoutMs)),
    );
  }

  cutDataCentres(a: string, b: string, mode?: LinkMode): void {
    this.network.cutDataCentres(a, b, mode);
  }

  cutFromPlatform(dataCentre: string, mode?: LinkMode): void {
    this.network.cutFromPlatform(dataCentre, mode);
  }

  heal(): void {
    this.network.heal();
  }

  /** Stops all processes of the cluster and deletes its files. */
  async stop(): Promise<void> {
    await this.caller.close();
    await Promise.all(this.daemons.map((daemon) => daemon.dispose()));
    await Promise.all(this.#processes.map((child) => child.kill()));
    await this.network.stop();
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/**
 * Starts a cluster and submits its configuration.
 *
 * @example
 * ```ts
 * const cluster = await startCluster(plan);
 * try {
 *   await cluster.caller.send(cluster.daemons[0].httpUrl, call);
 * } finally {
 *   await cluster.stop();
 * }
 * ```
 */
export async function startCluster(plan: ClusterPlan): Promise<Cluster> {
  const cluster = await prepareCluster(plan);
  try {
    await cluster.startDaemons();
    const answer = await cluster.submitConfiguration(cluster.configuration);
    if (answer.status >= 300) {
      const body = JSON.stringify(answer.body);
      throw new Error(
        `Configuration was refused with status ${answer.status}: ${body}`,
      );
    }
    if (plan.waitsUntilReady !== false) await cluster.waitUntilReady();
    return cluster;
  } catch (error) {
    await cluster.stop();
    throw error;
  }
}

/** Starts a cluster without its daemons. */
export async function prepareCluster(plan: ClusterPlan): Promise<Cluster> {
  const folder = mkdtempSync(join(tmpdir(), "sassafrasstage-"));
  const network = new ClusterNetwork({
    isProxied: plan.isProxied ?? false,
    sources: planVms(plan),
  });
  const platformProcess = new ManagedProcess({
    script: binPath("platform"),
    args: ["--seed", String(plan.seed ?? 1)],
    logFile: join(folder, "platform.log"),
  });
  const [announcement] = await platformProcess.readAnnouncements(1);
  const platform = new PlatformControl(requireFound(announcement, "platform"));
  const farm = await startBackendFarm(plan, folder);
  const urls = await proxyServers(farm.servers, network);
  const platformUrl = await network.addUrlTarget(
    { name: PLATFORM_TARGET, dataCentre: undefined },
    platform.url,
  );
  const prepared = await prepareDaemons(plan, {
    folder,
    network,
    platformUrl,
    adminKey: ADMIN_KEY,
  });
  const vms = listVms(plan, prepared.peerAddresses);
  await platform.setVms(vms);
  await platform.setFaults(plan.platformFaults ?? {});
  return new Cluster({
    plan,
    folder,
    platform,
    servers: farm.servers,
    daemons: prepared.daemons,
    network,
    processes: [platformProcess, ...farm.processes],
    configuration: planConfiguration(plan, urls),
    vms,
  });
}

async function proxyServers(
  servers: readonly BackendServerControl[],
  network: ClusterNetwork,
): Promise<Map<string, string>> {
  const urls = new Map<string, string>();
  for (const server of servers) {
    const target = { name: server.id, dataCentre: server.dataCentre };
    urls.set(server.id, await network.addUrlTarget(target, server.url));
  }
  return urls;
}

function requireFound<Item>(item: Item | undefined, name: string): Item {
  if (item === undefined) throw new Error(`The cluster has no ${name}`);
  return item;
}
