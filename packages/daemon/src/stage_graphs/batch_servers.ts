/**
 * The backend servers that a scheduler may use, with what it knows of each.
 *
 * @module
 */

import type {
  BackendServerId,
  ServiceName,
} from "@sassafrasstage/protocol/ids";
import type { ServerRegister } from "../register/server_register.js";
import type { BatchLimits } from "../routing/routing_configuration.js";
import { BatchServer } from "./batch_server.js";

export interface BatchServersOptions {
  readonly register: ServerRegister;
  readonly limitsOf: (service: ServiceName) => BatchLimits | undefined;
}

export class BatchServers {
  readonly #options: BatchServersOptions;
  readonly #servers = new Map<BackendServerId, BatchServer>();

  constructor(options: BatchServersOptions) {
    this.#options = options;
  }

  get(id: BackendServerId): BatchServer | undefined {
    return this.#servers.get(id);
  }

  forget(id: BackendServerId): void {
    this.#servers.delete(id);
  }

  /** The servers of the service that may receive new work. */
  usable(service: ServiceName): BatchServer[] {
    const limits = this.#options.limitsOf(service);
    if (limits === undefined) return [];
    return this.#options.register.usable(service).map((server) => {
      const known = this.#servers.get(server.id);
      if (known !== undefined) {
        known.server = server;
        known.limits = limits;
        return known;
      }
      const added = new BatchServer(server, limits);
      this.#servers.set(server.id, added);
      return added;
    });
  }

  /**
   * Those of the usable servers that calls reach; all of them if there is none.
   *
   * Load pattern: behind a cut, a server that can't be reached holds what it is
   * given until a time-out, while the servers on this side would have done it.
   */
  reachable(service: ServiceName, nowMs: number): BatchServer[] {
    const usable = this.usable(service);
    const reachable = usable.filter((server) => server.isReachable(nowMs));
    return reachable.length > 0 ? reachable : usable;
  }

  /** Calls at once of nominal speed that the reachable servers amount to. */
  capacityOf(service: ServiceName, nowMs: number): number {
    let capacity = 0;
    for (const server of this.reachable(service, nowMs)) {
      capacity += server.limits.callsAtOnce / server.slowness(nowMs);
    }
    return capacity;
  }
}
