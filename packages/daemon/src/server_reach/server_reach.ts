/**
 * Which backend servers this VM reaches on connections of its own.
 *
 * @module
 */

import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type {
  RegisteredServer,
  ServerRegister,
} from "../register/server_register.js";

/** What is known of a server to which a connection has failed. */
export type LostServer =
  /** It isn't known whether the server or the path to it is at fault. */
  { readonly kind: "suspected"; readonly sinceMs: number };

export interface ServerReachOptions {
  readonly register: ServerRegister;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Servers that aren't listed here are taken for reachable. */
export class ServerReach {
  readonly #options: ServerReachOptions;
  readonly #lost = new Map<BackendServerId, LostServer>();

  constructor(options: ServerReachOptions) {
    this.#options = options;
    options.metrics.registerGauge("lostServers", () => this.#lost.size);
  }

  /** @param cause Error code of the connection */
  recordFailedConnection(server: RegisteredServer, cause: string): void {
    if (this.#lost.has(server.id)) return;
    const { clock, metrics, logger, register } = this.#options;
    this.#lost.set(server.id, { kind: "suspected", sinceMs: clock.nowMs() });
    metrics.countEvent("serverSuspected");
    const servers = register.usableServers(server.service);
    logger.info("serverSuspected", {
      server: server.id,
      service: server.service,
      cause,
      usableServers: servers.length,
      usableServersLost: servers.filter(({ id }) => this.#lost.has(id)).length,
      lostServers: this.#lost.size,
    });
  }

  /** The server has accepted a connection, or responded on an earlier one. */
  recordReached(server: RegisteredServer): void {
    const lost = this.#lost.get(server.id);
    if (lost === undefined) return;
    this.#lost.delete(server.id);
    const { clock, logger } = this.#options;
    logger.info("serverReached", {
      server: server.id,
      service: server.service,
      was: lost.kind,
      forMs: Math.round(clock.nowMs() - lost.sinceMs),
      lostServers: this.#lost.size,
    });
  }

  forget(id: BackendServerId): void {
    this.#lost.delete(id);
  }
}
