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

  /** Calls at once of nominal speed that the usable servers amount to. */
  capacityOf(service: ServiceName, nowMs: number): number {
    let capacity = 0;
    for (const server of this.usable(service)) {
      capacity += server.limits.callsAtOnce / server.slowness(nowMs);
    }
    return capacity;
  }
}
