/**
 * Formats the fleet as text tables.
 *
 * @module
 */

import { poolKey } from "@sassafrasstage/protocol/ids";
import type { PoolStatus } from "@sassafrasstage/protocol/status";
import type { FleetView } from "./fleet_view.js";
import { formatTable } from "./format_table.js";

/** Formats three tables: daemons, pools and backend servers. */
export function formatFleet(fleet: FleetView): string {
  const daemons = fleet.daemons.map((daemon) => [
    daemon.vmId,
    daemon.dataCentre,
    daemon.state,
    daemon.generation,
  ]);
  const servers = fleet.pools.flatMap((pool) =>
    pool.backendServers.map((server) => [
      server.id,
      poolKey(pool.pool),
      server.state,
      server.inFlight,
      server.limit,
    ])
  );
  return [
    formatTable([["vm", "data centre", "state", "generation"], ...daemons]),
    formatTable([
      ["pool", "owner", "service", "queue", "cold grants"],
      ...fleet.pools.map(poolRow),
    ]),
    formatTable([
      ["backend server", "pool", "state", "in flight", "limit"],
      ...servers,
    ]),
  ].join("\n");
}

function poolRow(pool: PoolStatus): (string | number)[] {
  return [
    poolKey(pool.pool),
    pool.owner ?? "none",
    pool.isDataCentreOut ? "out" : "in",
    pool.queueLength,
    pool.coldGrants,
  ];
}
