/**
 * Starts the processes that run the stand-in backend servers of a cluster, one
 * process per data centre.
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { join } from "node:path";
import type { FarmServer } from "../backend_servers/farm_server.js";
import { type ClusterPlan, planServers } from "./cluster_plan.js";
import type { PlannedServer } from "./cluster_plan.js";
import { BackendServerControl } from "./control_client.js";
import { ManagedProcess } from "./managed_process.js";
import { binPath } from "./program_paths.js";

export interface BackendFarm {
  readonly processes: readonly ManagedProcess[];
  readonly servers: readonly BackendServerControl[];
}

export async function startBackendFarm(
  plan: ClusterPlan,
  folder: string,
): Promise<BackendFarm> {
  const planned = planServers(plan);
  const dataCentres = [...new Set(planned.map((server) => server.dataCentre))];
  const farms = await Promise.all(dataCentres.map((name) => {
    const servers = planned.filter((server) => server.dataCentre === name);
    return startFarmProcess(servers, { folder, name, seed: plan.seed ?? 1 });
  }));
  return {
    processes: farms.flatMap((farm) => farm.processes),
    servers: farms.flatMap((farm) => farm.servers),
  };
}

interface FarmOptions {
  readonly folder: string;
  readonly name: string;
  readonly seed: number;
}

async function startFarmProcess(
  planned: readonly PlannedServer[],
  options: FarmOptions,
): Promise<BackendFarm> {
  const file = join(options.folder, `servers-${options.name}.json`);
  const farmServers = planned.map((server, index) =>
    toFarmServer(server, options.seed + index)
  );
  writeFileSync(file, JSON.stringify(farmServers));
  const farm = new ManagedProcess({
    script: binPath("server_farm"),
    args: ["--servers", file],
    logFile: join(options.folder, `servers-${options.name}.log`),
  });
  const announcements = await farm.readAnnouncements(planned.length);
  const servers = announcements.map((announcement) => {
    const server = planned.find(({ id }) => id === announcement.id);
    if (server === undefined) throw new Error("Unplanned server was announced");
    const { id, dataCentre, vmId } = server;
    return new BackendServerControl(
      { id, dataCentre, vmId, service: server.service.name },
      announcement,
    );
  });
  return { processes: [farm], servers };
}

/**
 * Gives the stand-in the limits that the register states, unless the service's
 * `behaviour` in the plan overrides them.
 */
function toFarmServer(server: PlannedServer, seed: number): FarmServer {
  const { service, id } = server;
  const behaviour = service.behaviour ?? {};
  const coldStart = {
    coldLimit: service.coldLimit,
    ...(service.warmAfterCompletions === undefined
      ? {}
      : { warmAfterCompletions: service.warmAfterCompletions }),
    ...behaviour.coldStart,
  };
  switch (service.kind) {
    case "modelEngine": {
      const timings = {
        batchSize: service.warmLimit,
        ...service.behaviour?.timings,
      };
      return {
        id,
        kind: "modelEngine",
        options: { seed, ...service.behaviour, timings, coldStart },
      };
    }
    case "plain":
      return {
        id,
        kind: "plain",
        options: { seed, name: id, ...service.behaviour, coldStart },
      };
  }
}
