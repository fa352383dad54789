/**
 * One backend server in the books of its pool's owner.
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

/** Mutable; changed only by `OwnedPool`. */
export interface PooledServer {
  readonly id: BackendServerId;
  availability: ServerAvailability;
  health: ServerHealth;
  /** Permits granted and neither released nor expired. */
  inFlight: number;
  /** What `limitFor` gave last. */
  limit: number;
  /** Rises with each grant of the pool: the least recently used is lowest. */
  lastGrantNumber: number;
  /** The smoothed latency of its last few calls; undefined before the first. */
  recentLatencyMs: number | undefined;
}

/**
 * Enters a server of which nothing is known.
 *
 * @example
 * ```ts
 * const server = enterServer(id, nowMs);
 * ```
 */
export function enterServer(id: BackendServerId, nowMs: number): PooledServer {
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
 * The permits that may be out for the server at present.
 *
 * @example
 * ```ts
 * server.limit = limitFor(server, { service, rights, nowMs });
 * ```
 */
export function limitFor(server: PooledServer, context: LimitContext): number {
  if (server.availability !== "inService") return 0;
  const { state } = server.health;
  const limit = limitOf(state, context);
  return grantableLimit(
    { backendServerId: server.id, limit },
    { isCold: isCold(state), rights: context.rights },
  );
}

/**
 * What operators are shown of the server.
 *
 * @example
 * ```ts
 * status.backendServers.map(describeServer);
 * ```
 */
export function describeServer(server: PooledServer): BackendServerStatus {
  return {
    id: server.id,
    state: shownState(server),
    inFlight: server.inFlight,
    limit: server.limit,
  };
}

function shownState(server: PooledServer): BackendServerState {
  switch (server.availability) {
    case "out":
      return "out";
    case "leaving":
      return "leaving";
    case "inService":
      return server.health.state.kind;
  }
}
