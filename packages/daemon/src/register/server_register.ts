/**
 * The known backend servers with their latest reports.
 *
 * @module
 */

import type {
  BackendServerId,
  DataCentreName,
  ServiceName,
  SoftwareVersion,
} from "@sassafrasstage/protocol/ids";
import type { Address } from "../settings/settings.js";

/** A status report of a backend server. */
export interface ServerReport {
  readonly id: BackendServerId;
  readonly service: ServiceName;
  readonly address: Address;
  readonly dataCentre: DataCentreName;
  /** Versions have no order; output of different versions can't be combined. */
  readonly softwareVersion: SoftwareVersion;
  /** Number of requests that it processes concurrently. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** How much longer it stays cold, measured from the report. */
  readonly coldRemainingMs: number;
  /** Identifies the server process; a restart with the same id changes it. */
  readonly startedAt: number | undefined;
}

/** A backend server in the register. */
export interface RegisteredServer extends ServerReport {
  /** On this process's monotonic clock, in milliseconds. */
  readonly coldUntilMs: number;
}

export type RegisterChange =
  | { readonly kind: "added"; readonly server: RegisteredServer }
  | { readonly kind: "updated"; readonly server: RegisteredServer }
  /** The server process ended, so all the state that it held is lost. */
  | { readonly kind: "ended"; readonly server: RegisteredServer };

const MAX_REMEMBERED_ENDED = 1000;

/** The backend servers, and the data centres that are out of service. */
export class ServerRegister {
  readonly #servers = new Map<BackendServerId, RegisteredServer>();
  readonly #byService = new Map<ServiceName, RegisteredServer[]>();
  readonly #dataCentresOut = new Set<DataCentreName>();
  /** The latest process that ended under each id, the oldest ones first. */
  readonly #ended = new Map<BackendServerId, RegisteredServer>();
  #withholdsEndedUntilMs = Number.NEGATIVE_INFINITY;
  readonly #onChange: (change: RegisterChange) => void;

  constructor(onChange: (change: RegisterChange) => void) {
    this.#onChange = onChange;
  }

  /**
   * Ignores a report of an earlier process than the known one. A process that
   * has announced that it leaves doesn't come back.
   */
  apply(report: ServerReport, nowMs: number): void {
    const known = this.#servers.get(report.id);
    const server = {
      ...report,
      isDraining: report.isDraining || hasLeft(report, known),
      coldUntilMs: nowMs + Math.max(0, report.coldRemainingMs),
    };
    if (known === undefined) {
      if (nowMs < this.#withholdsEndedUntilMs && this.#hasEnded(report)) return;
      this.#store(server);
      this.#onChange({ kind: "added", server });
      return;
    }
    if (isOlderProcess(report, known)) return;
    this.#store(server);
    if (isOtherProcess(report, known)) {
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
    this.#rememberEnded(known);
    this.#onChange({ kind: "ended", server: known });
  }

  /**
   * Until this time, reports of processes that have ended are ignored: a store
   * that came back from an older copy may list them again.
   */
  withholdEndedUntil(untilMs: number): void {
    this.#withholdsEndedUntilMs = untilMs;
  }

  setDataCentresOut(dataCentres: readonly DataCentreName[]): void {
    this.#dataCentresOut.clear();
    for (const dataCentre of dataCentres) this.#dataCentresOut.add(dataCentre);
  }

  get(id: BackendServerId): RegisteredServer | undefined {
    return this.#servers.get(id);
  }

  /** Whether new work can be sent to the server. */
  canReceiveWork(server: RegisteredServer): boolean {
    return !server.isDraining && !this.#dataCentresOut.has(server.dataCentre) &&
      this.#servers.get(server.id) === server;
  }

  /**
   * Whether the server process that an earlier entry describes can receive new
   * work.
   */
  isUsable(earlier: RegisteredServer): boolean {
    const known = this.#servers.get(earlier.id);
    return known !== undefined && !isOtherProcess(earlier, known) &&
      this.canReceiveWork(known);
  }

  /**
   * Whether the server process that an earlier entry describes is registered and
   * hasn't announced that it leaves, so that its end is unexpected.
   */
  isStaying(earlier: RegisteredServer): boolean {
    const known = this.#servers.get(earlier.id);
    return known !== undefined && !isOtherProcess(earlier, known) &&
      !known.isDraining;
  }

  /** The servers of a service that can receive new work. */
  usableServers(service: ServiceName): RegisteredServer[] {
    return this.serversOf(service).filter((server) =>
      this.canReceiveWork(server)
    );
  }

  /** All servers of a service. */
  serversOf(service: ServiceName): readonly RegisteredServer[] {
    let servers = this.#byService.get(service);
    if (servers === undefined) {
      servers = [...this.#servers.values()]
        .filter((server) => server.service === service);
      this.#byService.set(service, servers);
    }
    return servers;
  }

  get size(): number {
    return this.#servers.size;
  }

  #hasEnded(report: ServerReport): boolean {
    const ended = this.#ended.get(report.id);
    return report.startedAt !== undefined && ended?.startedAt !== undefined &&
      report.startedAt <= ended.startedAt;
  }

  #rememberEnded(server: RegisteredServer): void {
    this.#ended.delete(server.id);
    this.#ended.set(server.id, server);
    if (this.#ended.size <= MAX_REMEMBERED_ENDED) return;
    const [oldest] = this.#ended.keys();
    if (oldest !== undefined) this.#ended.delete(oldest);
  }

  #store(server: RegisteredServer): void {
    const known = this.#servers.get(server.id);
    if (known !== undefined) this.#byService.delete(known.service);
    this.#servers.set(server.id, server);
    this.#byService.delete(server.service);
  }
}

function isOlderProcess(report: ServerReport, known: ServerReport): boolean {
  return report.startedAt !== undefined && known.startedAt !== undefined &&
    report.startedAt < known.startedAt;
}

function hasLeft(
  report: ServerReport,
  known: ServerReport | undefined,
): boolean {
  return known !== undefined && known.isDraining &&
    report.startedAt !== undefined && !isOtherProcess(report, known);
}

function isOtherProcess(report: ServerReport, known: ServerReport): boolean {
  return report.startedAt !== known.startedAt ||
    report.address.host !== known.address.host ||
    report.address.port !== known.address.port ||
    report.service !== known.service;
}
