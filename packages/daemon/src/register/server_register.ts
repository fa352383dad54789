/**
 * The backend servers that may be used, as they last told of themselves.
 *
 * @module
 */

import type {
  BackendServerId,
  DataCentreName,
  ServiceName,
} from "@sassafrasstage/protocol/ids";
import type { Address } from "../settings/settings.js";

/** What a backend server told of itself. */
export interface ServerReport {
  readonly id: BackendServerId;
  readonly service: ServiceName;
  readonly address: Address;
  readonly dataCentre: DataCentreName;
  /** Requests that it works on at once. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** How much longer it stays cold, from the moment of the report. */
  readonly coldRemainingMs: number;
  /** Names one process life; a restart under the same id has another. */
  readonly startedAt: number | undefined;
}

/** A backend server in the register. */
export interface RegisteredServer extends ServerReport {
  /** On this process's monotonic clock. */
  readonly coldUntilMs: number;
}

export type RegisterChange =
  | { readonly kind: "added"; readonly server: RegisteredServer }
  | { readonly kind: "updated"; readonly server: RegisteredServer }
  /** Its process life ended, so all that it held is lost. */
  | { readonly kind: "ended"; readonly server: RegisteredServer };

/** The list of backend servers and of the data centres taken out. */
export class ServerRegister {
  readonly #servers = new Map<BackendServerId, RegisteredServer>();
  readonly #byService = new Map<ServiceName, RegisteredServer[]>();
  readonly #out = new Set<DataCentreName>();
  readonly #onChange: (change: RegisterChange) => void;

  constructor(onChange: (change: RegisterChange) => void) {
    this.#onChange = onChange;
  }

  /** A report of an earlier process life than the known one is ignored. */
  apply(report: ServerReport, nowMs: number): void {
    const known = this.#servers.get(report.id);
    const server = {
      ...report,
      coldUntilMs: nowMs + Math.max(0, report.coldRemainingMs),
    };
    if (known === undefined) {
      this.#put(server);
      this.#onChange({ kind: "added", server });
      return;
    }
    if (isOlderLife(report, known)) return;
    this.#put(server);
    if (isOtherLife(report, known)) {
      this.#onChange({ kind: "ended", server: known });
      this.#onChange({ kind: "added", server });
      return;
    }
    this.#onChange({ kind: "updated", server });
  }

  remove(id: BackendServerId): void {
    const known = this.#servers.get(id);
    if (known === undefined) return;
    this.#servers.delete(id);
    this.#byService.delete(known.service);
    this.#onChange({ kind: "ended", server: known });
  }

  setTakenOut(dataCentres: readonly DataCentreName[]): void {
    this.#out.clear();
    for (const dataCentre of dataCentres) this.#out.add(dataCentre);
  }

  get(id: BackendServerId): RegisteredServer | undefined {
    return this.#servers.get(id);
  }

  /** Whether new work may be sent to the server. */
  mayReceive(server: RegisteredServer): boolean {
    return !server.isDraining && !this.#out.has(server.dataCentre) &&
      this.#servers.get(server.id) === server;
  }

  /** The servers of a service that may receive new work. */
  usable(service: ServiceName): RegisteredServer[] {
    return this.#listed(service).filter((server) => this.mayReceive(server));
  }

  get size(): number {
    return this.#servers.size;
  }

  #put(server: RegisteredServer): void {
    const known = this.#servers.get(server.id);
    if (known !== undefined) this.#byService.delete(known.service);
    this.#servers.set(server.id, server);
    this.#byService.delete(server.service);
  }

  #listed(service: ServiceName): RegisteredServer[] {
    let servers = this.#byService.get(service);
    if (servers === undefined) {
      servers = [...this.#servers.values()]
        .filter((server) => server.service === service);
      this.#byService.set(service, servers);
    }
    return servers;
  }
}

function isOlderLife(report: ServerReport, known: ServerReport): boolean {
  return report.startedAt !== undefined && known.startedAt !== undefined &&
    report.startedAt < known.startedAt;
}

function isOtherLife(report: ServerReport, known: ServerReport): boolean {
  return report.startedAt !== known.startedAt ||
    report.address.host !== known.address.host ||
    report.address.port !== known.address.port ||
    report.service !== known.service;
}
