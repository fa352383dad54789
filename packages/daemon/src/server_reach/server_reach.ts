/**
 * Which backend servers this VM reaches on connections of its own.
 *
 * @module
 */

import type {
  BackendServerId,
  ServiceName,
  VmId,
} from "@sassafrasstage/protocol/ids";
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
  | {
    readonly kind: "suspected";
    readonly sinceMs: number;
    /** No VM reached it when it was checked last. */
    readonly wasDown: boolean;
  }
  /** No peer reached it either. */
  | { readonly kind: "down"; readonly sinceMs: number }
  /** Peers reach it, and this VM doesn't. */
  | { readonly kind: "cutOff"; readonly sinceMs: number }
  /** It is reached again; its calls return gradually. */
  | { readonly kind: "returning"; readonly sinceMs: number };

export interface ServerReachOptions {
  readonly register: ServerRegister;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly onSuspected: (server: RegisteredServer) => void;
  readonly onCutOff: (server: RegisteredServer) => void;
  readonly onReturned: (server: RegisteredServer) => void;
  readonly onCutOffServicesChanged: (services: readonly ServiceName[]) => void;
}

/** Time for which a server that no VM reached isn't checked again. */
const DOWN_TTL_MS = 1000;
/** Time in which the calls to a server return to this VM's connections. */
const RETURN_MS = 1000;
/** A server's response or connection is evidence for this time. */
const EVIDENCE_TTL_MS = 100;

/** Servers without a record are taken for reachable. */
export class ServerReach {
  readonly #options: ServerReachOptions;
  readonly #lost = new Map<BackendServerId, LostServer>();
  readonly #reachedAtMs = new Map<BackendServerId, number>();
  #cutOffServices: readonly ServiceName[] = [];

  constructor(options: ServerReachOptions) {
    this.#options = options;
    options.metrics.registerGauge("lostServers", () => this.#lost.size);
    options.metrics.registerGauge(
      "cutOffServers",
      () => this.serversOfKind("cutOff").length,
    );
  }

  /** Services of which this VM reaches no server, but other VMs do. */
  get cutOffServices(): readonly ServiceName[] {
    return this.#cutOffServices;
  }

  stateOf(id: BackendServerId): LostServer | undefined {
    return this.#lost.get(id);
  }

  serversOfKind(kind: LostServer["kind"]): RegisteredServer[] {
    return [...this.#lost].flatMap(([id, lost]) => {
      const server = this.#options.register.get(id);
      return lost.kind === kind && server !== undefined ? [server] : [];
    });
  }

  /** Whether the server has accepted a connection or responded lately. */
  isKnownReached(id: BackendServerId, nowMs: number): boolean {
    const reachedAtMs = this.#reachedAtMs.get(id) ?? -Infinity;
    return !this.#lost.has(id) && nowMs - reachedAtMs < EVIDENCE_TTL_MS;
  }

  /** @param random A number of at least 0 and less than 1 */
  mustRelay(id: BackendServerId, nowMs: number, random: number): boolean {
    const lost = this.#lost.get(id);
    switch (lost?.kind) {
      case "cutOff":
        return true;
      case "returning":
        return random >= (nowMs - lost.sinceMs) / RETURN_MS;
      default:
        return false;
    }
  }

  /**
   * Whether a failed connection is more likely the fault of this VM's path than
   * the server's: no other server of the service is reached either.
   */
  isLikelyCutOff(server: RegisteredServer): boolean {
    const lost = this.#lost.get(server.id);
    if (lost?.kind === "cutOff") return true;
    if (lost?.kind !== "suspected" || lost.wasDown) return false;
    return this.#options.register.usableServers(server.service)
      .every(({ id }) => this.#isUnreached(id));
  }

  /** @param cause Error code of the connection */
  recordFailedConnection(server: RegisteredServer, cause: string): void {
    const { clock, metrics, logger, register, onSuspected } = this.#options;
    const nowMs = clock.nowMs();
    const known = this.#lost.get(server.id);
    const isKnown = known !== undefined && known.kind !== "returning" &&
      !(known.kind === "down" && nowMs - known.sinceMs > DOWN_TTL_MS);
    if (isKnown) return;
    const wasDown = known?.kind === "down";
    this.#set(server, { kind: "suspected", sinceMs: nowMs, wasDown });
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
    onSuspected(server);
  }

  /** The server has responded, maybe on a connection made long ago. */
  recordResponse(server: RegisteredServer): void {
    const lost = this.#lost.get(server.id);
    if (lost === undefined) {
      this.#reachedAtMs.set(server.id, this.#options.clock.nowMs());
    } else if (lost.kind === "down") this.#recordReached(server, lost);
  }

  /** The server has accepted a connection. */
  recordConnection(server: RegisteredServer): void {
    const { clock } = this.#options;
    const lost = this.#lost.get(server.id);
    switch (lost?.kind) {
      case "suspected":
      case "down":
        this.#recordReached(server, lost);
        return;
      case "cutOff":
        this.#returnServer(server, lost);
        return;
      case "returning":
        return;
      case undefined:
        this.#reachedAtMs.set(server.id, clock.nowMs());
    }
  }

  /** @param peer The VM that reaches it; undefined if that is inferred */
  recordCutOff(server: RegisteredServer, peer: VmId | undefined): void {
    const { clock, metrics, logger, onCutOff } = this.#options;
    if (this.#lost.get(server.id)?.kind === "cutOff") return;
    this.#set(server, { kind: "cutOff", sinceMs: clock.nowMs() });
    metrics.countEvent("serverCutOff");
    logger.info("serverCutOff", {
      server: server.id,
      service: server.service,
      reachedBy: peer,
      cutOffServers: this.serversOfKind("cutOff").length,
    });
    onCutOff(server);
  }

  /** A peer didn't reach a server that this VM is cut off from. */
  recordUnreachedByPeer(server: RegisteredServer): void {
    const lost = this.#lost.get(server.id);
    if (lost?.kind !== "cutOff") return;
    this.#set(server, { ...lost, kind: "suspected", wasDown: true });
    this.#options.onSuspected(server);
  }

  /** No VM that was asked reaches the server. */
  recordDown(server: RegisteredServer): void {
    if (this.#lost.get(server.id)?.kind !== "suspected") return;
    this.#set(server, { kind: "down", sinceMs: this.#options.clock.nowMs() });
    this.#options.logger.info("serverDown", {
      server: server.id,
      service: server.service,
    });
  }

  /** Ends the gradual return of servers. */
  expire(nowMs: number): void {
    for (const server of this.serversOfKind("returning")) {
      const lost = this.#lost.get(server.id);
      if (lost !== undefined && nowMs - lost.sinceMs > RETURN_MS) {
        this.#clear(server);
      }
    }
  }

  forget(id: BackendServerId): void {
    this.#reachedAtMs.delete(id);
    if (this.#lost.delete(id)) this.updateCutOffServices();
  }

  /** Has to be called when servers were added or removed, too. */
  updateCutOffServices(): void {
    const { logger, onCutOffServicesChanged } = this.#options;
    const services = [
      ...new Set(this.serversOfKind("cutOff").map(({ service }) => service)),
    ].filter((service) => this.#isCutOffService(service)).sort();
    if (services.join() === this.#cutOffServices.join()) return;
    logger.info("cutOffServicesChanged", {
      services: services.join(),
      previous: this.#cutOffServices.join(),
    });
    this.#cutOffServices = services;
    onCutOffServicesChanged(services);
  }

  #isCutOffService(service: ServiceName): boolean {
    const servers = this.#options.register.usableServers(service);
    return servers.every(({ id }) => this.#isUnreached(id)) &&
      servers.some(({ id }) => this.#lost.get(id)?.kind === "cutOff");
  }

  #isUnreached(id: BackendServerId): boolean {
    const kind = this.#lost.get(id)?.kind;
    return kind !== undefined && kind !== "returning";
  }

  #returnServer(server: RegisteredServer, lost: LostServer): void {
    const { clock, logger, onReturned } = this.#options;
    const nowMs = clock.nowMs();
    this.#set(server, { kind: "returning", sinceMs: nowMs });
    logger.info("serverReturned", {
      server: server.id,
      service: server.service,
      cutOffMs: Math.round(nowMs - lost.sinceMs),
    });
    onReturned(server);
  }

  #recordReached(server: RegisteredServer, lost: LostServer): void {
    const { clock, logger } = this.#options;
    const nowMs = clock.nowMs();
    this.#clear(server);
    this.#reachedAtMs.set(server.id, nowMs);
    logger.info("serverReached", {
      server: server.id,
      service: server.service,
      was: lost.kind,
      forMs: Math.round(nowMs - lost.sinceMs),
      lostServers: this.#lost.size,
    });
  }

  #set(server: RegisteredServer, lost: LostServer): void {
    this.#lost.set(server.id, lost);
    this.updateCutOffServices();
  }

  #clear(server: RegisteredServer): void {
    this.#lost.delete(server.id);
    this.updateCutOffServices();
  }
}
