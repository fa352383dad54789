/**
 * One backend server as tracked by its pool's owner.
 *
 * @module
 */

import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import type { Service } from "@sassafrasstage/protocol/register";
import type {
  BackendServerState,
  BackendServerStatus,
} from "@sassafrasstage/protocol/status";
import {
  isCold,
  limitOf,
  type ServerHealth,
  unknownHealth,
} from "./backend_server_state.js";
import { grantableLimit, type GrantRights } from "./grant_rights.js";
import type { ServerAvailability } from "./pool_layout.js";

/** Mutable; changed only by the `ServerTable` of an `OwnedPool`. */
export interface PooledServer {
  readonly id: BackendServerId;
  availability: ServerAvailability;
  health: ServerHealth;
  /** Permits granted and neither released nor expired. */
  inFlight: number;
  /** The latest result of `effectiveLimitOf`. */
  limit: number;
  /** Rises with each grant of the pool; lowest for the least recently used. */
  lastGrantNumber: number;
  /** The smoothed latency of its last few calls; undefined before the first. */
  recentLatencyMs: number | undefined;
}

/**
 * Creates the record of a server about which nothing is known yet.
 *
 * @example
 * ```ts
 * const server = createPooledServer(id, nowMs);
 * ```
 */
export function createPooledServer(
  id: BackendServerId,
  nowMs: number,
): PooledServer {
  return {
    id,
    availability: "inService",
    health: unknownHealth(nowMs),
    inFlight: 0,
    limit: 0,
    lastGrantNumber: 0,
    recentLatencyMs: undefined,
  };
}

export interface LimitContext {
  readonly service: Service;
  readonly rights: GrantRights;
  readonly nowMs: number;
}

/**
 * The number of permits that may currently be outstanding at the server.
 *
 * @example
 * ```ts
 * server.limit = effectiveLimitOf(server, { service, rights, nowMs });
 * ```
 */
export function effectiveLimitOf(
  server: PooledServer,
  context: LimitContext,
): number {
  if (server.availability !== "inService") return 0;
  const { state } = server.health;
  const limit = limitOf(state, context);
  return grantableLimit(
    { backendServerId: server.id, limit },
    { isCold: isCold(state), rights: context.rights },
  );
}

/**
 * The server's status as reported to operators.
 *
 * @example
 * ```ts
 * const backendServers = servers.map(toServerStatus);
 * ```
 */
export function toServerStatus(server: PooledServer): BackendServerStatus {
  return {
    id: server.id,
    state: reportedState(server),
    inFlight: server.inFlight,
    limit: server.limit,
  };
}

function reportedState(server: PooledServer): BackendServerState {
  switch (server.availability) {
    case "out":
      return "out";
    case "leaving":
      return "leaving";
    case "inService":
      return server.health.state.kind;
  }
}
