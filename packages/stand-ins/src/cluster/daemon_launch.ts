/**
 * Creates the port reservations, settings files and handles of the daemons of a
 * cluster.
 *
 * @module
 */

import { join } from "node:path";
import {
  type ClusterPlan,
  type PlannedVm,
  planVms,
  type SettingsOverrides,
} from "./cluster_plan.js";
import { DaemonHandle } from "./daemon_handle.js";
import { type PortReservation, reservePorts } from "./free_ports.js";
import type { ClusterNetwork } from "./network.js";
import { sha256Of } from "./planned_configuration.js";
import { daemonPath } from "./program_paths.js";
import { mergeSettings, writeSettingsFile } from "./settings_file.js";

export interface LaunchOptions {
  readonly folder: string;
  readonly network: ClusterNetwork;
  readonly platformUrl: string;
  readonly adminKey: string;
}

export interface PreparedDaemons {
  readonly daemons: readonly DaemonHandle[];
  /** Addresses ("host:port") that other daemons connect to, by VM. */
  readonly peerAddresses: ReadonlyMap<string, string>;
}

interface LaunchedVm extends PlannedVm {
  readonly httpAddress: string;
  readonly peerListenAddress: string;
  readonly peerAddress: string;
  readonly reservation: PortReservation;
}

const HOST = "127.0.0.1";
const SHARED_KEY = "shared-key-of-the-harness";

export async function prepareDaemons(
  plan: ClusterPlan,
  options: LaunchOptions,
): Promise<PreparedDaemons> {
  const vms: LaunchedVm[] = [];
  for (const vm of planVms(plan)) {
    vms.push(await reserveAddresses(vm, options.network));
  }
  const daemons = vms.map((vm) => {
    const settingsFile = join(options.folder, `${vm.vmId}.ini`);
    const settings = makeSettings(vm, { vms, launch: options });
    writeSettingsFile(
      settingsFile,
      mergeSettings(settings, plan.settings ?? {}),
    );
    return makeHandle(vm, { plan, settingsFile, launch: options });
  });
  return {
    daemons,
    peerAddresses: new Map(vms.map((vm) => [vm.vmId, vm.peerAddress])),
  };
}

async function reserveAddresses(
  vm: PlannedVm,
  network: ClusterNetwork,
): Promise<LaunchedVm> {
  const reservation = await reservePorts(2);
  const [httpPort, peerPort] = reservation.ports;
  const peerListenAddress = `${HOST}:${String(peerPort)}`;
  const peerAddress = await network.addTarget(
    { name: vm.vmId, dataCentre: vm.dataCentre },
    peerListenAddress,
  );
  return {
    ...vm,
    httpAddress: `${HOST}:${String(httpPort)}`,
    peerListenAddress,
    peerAddress,
    reservation,
  };
}

function makeSettings(
  vm: LaunchedVm,
  context: {
    readonly vms: readonly LaunchedVm[];
    readonly launch: LaunchOptions;
  },
): SettingsOverrides {
  const seeds = context.vms
    .filter((other) => other.vmId !== vm.vmId)
    .map((other) => `${other.vmId}@${other.dataCentre}@${other.peerAddress}`);
  return {
    vm: {
      id: vm.vmId,
      data_centre: vm.dataCentre,
      source_address: context.launch.network.sourceAddress(vm.vmId),
    },
    listen: { http: vm.httpAddress, peers: vm.peerListenAddress },
    peers: { shared_key: SHARED_KEY, seeds: seeds.join(",") },
    platform: { url: context.launch.platformUrl },
    admin: { key_sha256: sha256Of(context.launch.adminKey) },
    shutdown: { accept_for_ms: 200 },
  };
}

function makeHandle(
  vm: LaunchedVm,
  context: {
    readonly plan: ClusterPlan;
    readonly settingsFile: string;
    readonly launch: LaunchOptions;
  },
): DaemonHandle {
  const { network, folder, adminKey } = context.launch;
  let isReserved = true;
  return new DaemonHandle({
    vmId: vm.vmId,
    dataCentre: vm.dataCentre,
    httpUrl: `http://${vm.httpAddress}`,
    adminKey,
    program: context.plan.daemonProgram ?? daemonPath(),
    settingsFile: context.settingsFile,
    logFile: join(folder, `${vm.vmId}.log`),
    releasePorts: async () => {
      if (isReserved) await vm.reservation.release();
      isReserved = false;
    },
    onEnded: () => {
      network.refuseUntilTargetListens(vm.vmId);
    },
  });
}
