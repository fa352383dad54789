/**
 * The pools of a configuration, and which of their backend servers may get
 * new work.
 *
 * @module
 */

import type { Configuration } from "@sassafrasstage/protocol/configuration";
import type { Rules } from "@sassafrasstage/protocol/rules";
import {
  type BackendServerId,
  type ClientAccountId,
  type DataCentreName,
  type PoolId,
  poolKey,
  type ServiceName,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import type { VmListing } from "@sassafrasstage/protocol/platform_objects";
import type { BackendServer, Service } from "@sassafrasstage/protocol/register";

/** One pool with its service's limits and its backend servers. */
export interface PoolEntry {
  readonly pool: PoolId;
  readonly key: string;
  readonly service: Service;
  readonly servers: readonly BackendServer[];
}

/** All pools of one generation of the configuration. */
export interface PoolLayout {
  readonly generation: number;
  readonly pools: ReadonlyMap<string, PoolEntry>;
  readonly poolsByService: ReadonlyMap<ServiceName, readonly PoolEntry[]>;
  readonly dataCentresOut: ReadonlySet<DataCentreName>;
  readonly serversOut: ReadonlySet<BackendServerId>;
  readonly shares: ReadonlyMap<ClientAccountId, number>;
  /** Upper bound, by service, of the lifetime of requests and thus of permits. */
  readonly longestDeadlinesMs: ReadonlyMap<ServiceName, number>;
}

/**
 * Groups the backend servers of a configuration into pools.
 *
 * @example
 * ```ts
 * const layout = buildPoolLayout(configuration);
 * layout.pools.get(poolKey(pool))?.servers.length;
 * ```
 */
export function buildPoolLayout(configuration: Configuration): PoolLayout {
  const { register, rules } = configuration;
  const services = new Map(register.services.map((s) => [s.name, s]));
  const pools = new Map<string, PoolEntry & { servers: BackendServer[] }>();
  for (const server of register.backendServers) {
    const service = services.get(server.service);
    if (service === undefined) continue;
    const pool = { service: server.service, dataCentre: server.dataCentre };
    const key = poolKey(pool);
    const entry = pools.get(key) ?? { pool, key, service, servers: [] };
    entry.servers.push(server);
    pools.set(key, entry);
  }
  return {
    generation: configuration.generation,
    pools,
    poolsByService: groupByService([...pools.values()]),
    dataCentresOut: new Set(rules.dataCentresOut),
    serversOut: new Set(rules.backendServersOut),
    shares: new Map(rules.clientAccounts.map((a) => [a.id, a.share])),
    longestDeadlinesMs: findLongestDeadlines(rules),
  };
}

function findLongestDeadlines(rules: Rules): Map<ServiceName, number> {
  const longestMs = new Map<ServiceName, number>();
  for (const { deadlineMs, stages } of rules.pipelines) {
    for (const { service } of stages) {
      longestMs.set(service, Math.max(deadlineMs, longestMs.get(service) ?? 0));
    }
  }
  return longestMs;
}

function groupByService(
  entries: readonly PoolEntry[],
): Map<ServiceName, PoolEntry[]> {
  const groups = new Map<ServiceName, PoolEntry[]>();
  for (const entry of entries) {
    const group = groups.get(entry.pool.service) ?? [];
    group.push(entry);
    groups.set(entry.pool.service, group);
  }
  return groups;
}

/** Whether a backend server may get new work, and if not, why. */
export type ServerAvailability = "inService" | "out" | "leaving";

/** Which VMs may get new work, according to the platform's VM list. */
export interface VmAvailability {
  mayGetNewWork(vmId: VmId): boolean;
}

/**
 * Reads the platform's VM list. Without one, or with one that has no VM of
 * backend servers at all, every VM may get new work.
 *
 * @example
 * ```ts
 * readVmAvailability(listing).mayGetNewWork(server.vmId);
 * ```
 */
export function readVmAvailability(
  listing: VmListing | undefined,
): VmAvailability {
  const serverVms = listing?.vms.filter((vm) => vm.role === "backendServer") ??
    [];
  if (serverVms.length === 0) return { mayGetNewWork: () => true };
  const liveVmIds = new Set(
    serverVms.filter((vm) => vm.state === "live").map((vm) => vm.vmId),
  );
  return { mayGetNewWork: (vmId) => liveVmIds.has(vmId) };
}

/**
 * Whether a backend server may get new work.
 *
 * @example
 * ```ts
 * if (availabilityOf(server, layout, vms) === "inService") grant(server);
 * ```
 */
export function availabilityOf(
  server: BackendServer,
  layout: PoolLayout,
  vms: VmAvailability,
): ServerAvailability {
  if (layout.dataCentresOut.has(server.dataCentre)) return "out";
  if (layout.serversOut.has(server.id)) return "out";
  return vms.mayGetNewWork(server.vmId) ? "inService" : "leaving";
}
