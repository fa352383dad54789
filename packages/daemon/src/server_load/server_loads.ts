/**
 * The stated load and learned speed of the servers that this VM sends requests
 * to. Each server process is known from its first statement on; nothing is kept
 * of an earlier process at the same id.
 *
 * @module
 */

import type {
  BackendServerId,
  ServiceName,
} from "@sassafrasstage/protocol/ids";
import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { RegisteredServer } from "../register/server_register.js";
import type { LoadStatement, ServerLoad } from "./server_load.js";
import { ServerSpeed, ServiceSpeed } from "./server_speed.js";
import { StatedLoad } from "./stated_load.js";

export interface ServerLoadsOptions {
  /** Requests of this VM at a server that its health record counts. */
  readonly inFlightOf: (id: BackendServerId) => number;
  /** A server has stated how long work takes there. */
  readonly onWorkTimeStated?: () => void;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** What the choice of a server takes into account beside its health. */
export interface CandidateLoad {
  /** Requests that other VMs have at the server. */
  readonly othersLoad: number;
  /** Expected duration of a request, relative to the service's mean. */
  readonly slowness: number;
}

/** A response that did not wait for other requests. */
export interface MeasuredCall {
  /** Requests of the same kind take the same time at servers of equal speed. */
  readonly kind: string;
  readonly durationMs: number;
  readonly load: ServerLoad;
}

interface ServerRecord {
  readonly server: RegisteredServer;
  readonly stated: StatedLoad;
  readonly speed: ServerSpeed;
  isPredictive: boolean;
}

interface ServiceRecord {
  readonly speed: ServiceSpeed;
  /** Logarithm of the mean duration of each kind of request. */
  readonly logMeanMs: Map<string, number>;
}

/** Weight of the newest request in the mean duration of its kind. */
const MEAN_SMOOTHING = 0.05;
const MAX_KINDS = 200;
/** Responses that arrive after their server's end may leave records of it. */
const MAX_SERVERS = 2000;

export class ServerLoads {
  readonly #options: ServerLoadsOptions;
  readonly #servers = new Map<BackendServerId, ServerRecord>();
  readonly #services = new Map<ServiceName, ServiceRecord>();

  constructor(options: ServerLoadsOptions) {
    this.#options = options;
    options.metrics.registerGauge(
      "serversStatingLoad",
      () =>
        [...this.#servers.values()]
          .filter(({ stated }) => stated.hasStatedSlowdown).length,
    );
  }

  /**
   * Records what a response of the server states.
   *
   * @param request The request whose response it is
   */
  record(
    server: RegisteredServer,
    statement: LoadStatement,
    request: string,
  ): void {
    const { clock, inFlightOf, metrics, logger } = this.#options;
    switch (statement.kind) {
      case "none":
        return;
      case "invalid":
        metrics.countEvent("serverLoadInvalid");
        logger.debug("serverLoadInvalid", {
          server: server.id,
          request,
          text: statement.text,
        });
        return;
      case "stated": {
        const { stated } = this.#recordOf(server);
        const wasUsed = stated.hasStatedSlowdown;
        stated.record(statement.load, {
          ownInFlight: inFlightOf(server.id),
          nowMs: clock.nowMs(),
        });
        if (!wasUsed && statement.load.slowdown !== undefined) {
          logger.info("serverLoadUsed", {
            server: server.id,
            slots: statement.load.slots,
            slowdown: statement.load.slowdown,
          });
          this.#options.onWorkTimeStated?.();
        }
      }
    }
  }

  /** Learns the server's speed from a call unless it waited for others. */
  recordCall(server: RegisteredServer, call: MeasuredCall): void {
    const { running, waiting, slots, slowdown } = call.load;
    if (slowdown === undefined || waiting > 0 || running > slots) return;
    if (call.durationMs <= 0) return;
    const nowMs = this.#options.clock.nowMs();
    const record = this.#recordOf(server);
    const ratio = call.durationMs / this.#updateMean(server.service, call);
    record.speed.record({ ratio, slowdown }, nowMs);
    this.#checkPredictive(record, nowMs);
  }

  /** Undefined unless the server has stated how long work takes there. */
  candidateLoad(
    server: RegisteredServer,
    nowMs: number,
  ): CandidateLoad | undefined {
    const record = this.#servers.get(server.id);
    if (record === undefined || !isSameProcess(record.server, server)) {
      return undefined;
    }
    const { stated, speed } = record;
    if (!stated.hasStatedSlowdown) return undefined;
    const mean = this.#serviceOf(server.service).speed.slowness(nowMs);
    return {
      othersLoad: stated.othersLoad(nowMs),
      slowness: speed.slowness(stated.slowdown(nowMs), nowMs) / mean,
    };
  }

  forget(id: BackendServerId): void {
    this.#servers.delete(id);
  }

  #recordOf(server: RegisteredServer): ServerRecord {
    const known = this.#servers.get(server.id);
    if (known !== undefined && isSameProcess(known.server, server)) {
      return known;
    }
    const record = {
      server,
      stated: new StatedLoad(),
      speed: new ServerSpeed(this.#serviceOf(server.service).speed),
      isPredictive: true,
    };
    this.#servers.set(server.id, record);
    if (this.#servers.size > MAX_SERVERS) this.#forgetOldest();
    return record;
  }

  #forgetOldest(): void {
    const [oldest] = this.#servers.keys();
    if (oldest !== undefined) this.#servers.delete(oldest);
  }

  #serviceOf(name: ServiceName): ServiceRecord {
    let service = this.#services.get(name);
    if (service === undefined) {
      service = { speed: new ServiceSpeed(), logMeanMs: new Map() };
      this.#services.set(name, service);
    }
    return service;
  }

  /** Returns the mean duration of such requests before this one. */
  #updateMean(service: ServiceName, call: MeasuredCall): number {
    const { logMeanMs } = this.#serviceOf(service);
    const logMs = Math.log(call.durationMs);
    const previous = logMeanMs.get(call.kind) ?? logMs;
    if (logMeanMs.size >= MAX_KINDS && !logMeanMs.has(call.kind)) {
      logMeanMs.clear();
    }
    logMeanMs.set(call.kind, previous + (logMs - previous) * MEAN_SMOOTHING);
    return Math.exp(previous);
  }

  #checkPredictive(record: ServerRecord, nowMs: number): void {
    const isPredictive = record.speed.isPredictive(nowMs);
    if (isPredictive === record.isPredictive) return;
    record.isPredictive = isPredictive;
    const { metrics, logger } = this.#options;
    const event = isPredictive
      ? "serverLoadPredictive"
      : "serverLoadNotPredictive";
    metrics.countEvent(event);
    logger.info(event, { server: record.server.id });
  }
}

function isSameProcess(a: RegisteredServer, b: RegisteredServer): boolean {
  return a.startedAt === b.startedAt && a.service === b.service &&
    a.address.host === b.address.host && a.address.port === b.address.port;
}
