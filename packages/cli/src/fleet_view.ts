/**
 * A view of the fleet, merged from the statuses of the queried daemons.
 *
 * @module
 */

import type {
  DaemonStatus,
  MemberStatus,
  PoolStatus,
} from "@sassafrasstage/protocol/status";
import { poolKey } from "@sassafrasstage/protocol/ids";

export interface FleetView {
  readonly daemons: readonly MemberStatus[];
  readonly pools: readonly PoolStatus[];
}

/**
 * Merges the statuses. What a daemon reports about itself or its own pools takes
 * precedence. For other pools, the status that lists the most backend servers is
 * used, since only a pool's owner lists them.
 */
export function mergeStatuses(statuses: readonly DaemonStatus[]): FleetView {
  const daemons = new Map<string, MemberStatus>();
  const pools = new Map<string, PoolStatus>();
  for (const status of statuses) {
    for (const member of status.members) {
      const known = daemons.get(member.vmId);
      if (known === undefined || known.generation < member.generation) {
        daemons.set(member.vmId, member);
      }
    }
    for (const pool of status.pools) {
      const key = poolKey(pool.pool);
      const known = pools.get(key);
      const replacesKnown = known === undefined || pool.isOwnedHere ||
        pool.backendServers.length > known.backendServers.length;
      if (replacesKnown) pools.set(key, pool);
    }
  }
  for (const status of statuses) {
    const { vmId, dataCentre, generation } = status;
    const known = daemons.get(vmId);
    const state = known?.state === "leaving" ? "leaving" : "live";
    daemons.set(vmId, { vmId, dataCentre, generation, state });
  }
  return {
    daemons: sortBy([...daemons.values()], (daemon) => daemon.vmId),
    pools: sortBy([...pools.values()], (pool) => poolKey(pool.pool)),
  };
}

function sortBy<Item>(items: Item[], key: (item: Item) => string): Item[] {
  return items.sort((a, b) => key(a) < key(b) ? -1 : 1);
}
