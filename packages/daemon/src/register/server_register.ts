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

/** In which this VM sends nothing to a server process. */
interface Pause {
  readonly server: RegisteredServer;
  readonly untilMs: number;
}

const MAX_REMEMBERED_PROCESSES = 1000;

/** The backend servers, and the data centres that are out of service. */
export class ServerRegister {
  readonly #servers = new Map<BackendServerId, RegisteredServer>();
  readonly #byService = new Map<ServiceName, RegisteredServer[]>();
  readonly #dataCentresOut = new Set<DataCentreName>();
  /** The latest process that ended under each id, the oldest ones first. */
  readonly #ended = new Map<BackendServerId, RegisteredServer>();
  #withholdsEndedUntilMs = Number.NEGATIVE_INFINITY;
  /** Processes that have said in a response that they leave. */
  readonly #leaving = new Map<BackendServerId, RegisteredServer>();
  readonly #pauses = new Map<BackendServerId, Pause>();
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
      isDraining: report.isDraining || hasLeft(report, known) ||
        hasLeft(report, this.#leaving.get(report.id)),
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
    remember(this.#ended, known);
    this.#onChange({ kind: "ended", server: known });
  }

  /**
   * The process has said that it leaves. Returns false if that is known, or the
   * process has been replaced.
   */
  announceLeaving(server: RegisteredServer): boolean {
    const known = this.#servers.get(server.id);
    if (known !== undefined && isOtherProcess(server, known)) return false;
    const leaving = { ...(known ?? server), isDraining: true };
    const isNews = this.#leaving.get(server.id)?.startedAt !== server.startedAt;
    remember(this.#leaving, leaving);
    if (known === undefined || known.isDraining) return isNews;
    this.#store(leaving);
    this.#onChange({ kind: "updated", server: leaving });
    return true;
  }

  /**
   * Until this time, the process gets no new work, also if its entry lapses and
   * comes back. Returns false if it has been replaced, or a longer pause is known.
   */
  pause(server: RegisteredServer, untilMs: number): boolean {
    const known = this.#servers.get(server.id);
    if (known !== undefined && isOtherProcess(server, known)) return false;
    const pause = this.#pauses.get(server.id);
    const isCurrent = pause !== undefined &&
      !isOtherProcess(pause.server, server);
    if (isCurrent && pause.untilMs >= untilMs) return false;
    this.#pauses.set(server.id, { server, untilMs });
    return true;
  }

  endPause(id: BackendServerId): void {
    this.#pauses.delete(id);
  }

  isPaused(server: RegisteredServer): boolean {
    const pause = this.#pauses.get(server.id);
    return pause !== undefined && !isOtherProcess(pause.server, server);
  }

  /** When the first pause of the service's servers ends, if one is paused. */
  pauseEndsAtMs(service: ServiceName): number | undefined {
    const endTimesMs = this.serversOf(service)
      .filter((server) => !server.isDraining && this.isPaused(server))
      .map(({ id }) => this.#pauses.get(id)?.untilMs ?? Infinity);
    return endTimesMs.length === 0 ? undefined : Math.min(...endTimesMs);
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
    return !server.isDraining && !this.isPaused(server) &&
      !this.#dataCentresOut.has(server.dataCentre) &&
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

  allServers(): readonly RegisteredServer[] {
    return [...this.#servers.values()];
  }

  get size(): number {
    return this.#servers.size;
  }

  #hasEnded(report: ServerReport): boolean {
    const ended = this.#ended.get(report.id);
    return report.startedAt !== undefined && ended?.startedAt !== undefined &&
      report.startedAt <= ended.startedAt;
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

/** Adds the server as the newest, and drops the oldest ones. */
function remember(
  servers: Map<BackendServerId, RegisteredServer>,
  server: RegisteredServer,
): void {
  servers.delete(server.id);
  servers.set(server.id, server);
  if (servers.size <= MAX_REMEMBERED_PROCESSES) return;
  const [oldest] = servers.keys();
  if (oldest !== undefined) servers.delete(oldest);
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
