/**
 * The daemon with its HTTP listener, readiness and shutdown.
 *
 * @module
 */

import { createServer, type Server } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { makeProblem } from "@sassafrasstage/protocol/problems";
import type { DaemonStatus, Readiness } from "@sassafrasstage/protocol/status";
import restana from "restana";
import { addCallerRoutes, type HttpService } from "./callers/caller_routes.js";
import { MONOTONIC_CLOCK } from "./clock.js";
import {
  closeParts,
  type DaemonParts,
  makeEnvironment,
  startParts,
} from "./daemon_parts.js";
import { readPendingRequests } from "./http/read_pending_requests.js";
import { sendProblem } from "./http/send_problem.js";
import { listenOn } from "./net/listen_on.js";
import { addProbeRoutes } from "./observability/probe_routes.js";
import { addOperatorRoutes } from "./operators/operator_routes.js";
import type { Settings } from "./settings/settings.js";

const CLAIM_FLUSH_TIMEOUT_MS = 10_000;
/**
 * Longer than the idle timeout of the load balancer, so that the load balancer
 * closes idle connections first and never reuses one that the daemon is
 * closing.
 */
const KEEP_ALIVE_TIMEOUT_MS = 75_000;

/**
 * One running daemon.
 *
 * @example
 * ```ts
 * const daemon = await Daemon.start(settings);
 * process.once("SIGTERM", () => void daemon.shutDown());
 * ```
 */
export class Daemon {
  readonly #parts: DaemonParts;
  readonly #server: Server;
  #phase: "running" | "leaving" | "closed" = "running";
  #shutdownFinished: Promise<void> | undefined;

  private constructor(parts: DaemonParts) {
    this.#parts = parts;
    this.#server = createServer({ keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS });
    this.#addRoutes();
  }

  /** Starts all components; rejects when it can't listen on an address. */
  static async start(settings: Settings): Promise<Daemon> {
    const parts = await startParts(settings);
    const daemon = new Daemon(parts);
    await listenOn(daemon.#server, {
      address: settings.listen.http,
      purpose: "clients",
      maxWaitMs: settings.listen.port_wait_ms,
      logger: parts.logger,
    });
    parts.logger.info("started", {
      http: formatAddress(daemon.#server),
      peers: `${parts.network.address.host}:${parts.network.address.port}`,
    });
    return daemon;
  }

  readiness(): Readiness {
    if (this.#phase !== "running") {
      return { kind: "notReady", reason: "The daemon is shutting down" };
    }
    if (this.#parts.configuration.current() === undefined) {
      return { kind: "notReady", reason: "No configuration is in force yet" };
    }
    return { kind: "ready" };
  }

  status(): DaemonStatus {
    const { network, configuration, permits } = this.#parts;
    const nowMs = MONOTONIC_CLOCK.nowMs();
    return {
      vmId: network.self.vmId,
      incarnation: network.self.incarnation,
      dataCentre: network.self.dataCentre,
      generation: configuration.current()?.generation ?? 0,
      readiness: this.readiness(),
      members: network.view(nowMs).members.map((member) => ({
        vmId: member.vmId,
        dataCentre: member.dataCentre,
        state: member.state,
        generation: member.isSelf
          ? configuration.current()?.generation ?? 0
          : member.generation,
      })),
      pools: permits.statuses(nowMs),
    };
  }

  /**
   * Announces the shutdown, stops listening after `shutdown.accept_for_ms`,
   * waits at most `shutdown.drain_ms` for requests in flight to complete, flushes
   * the claims, and closes all components. Repeated calls return the same promise.
   */
  shutDown(): Promise<void> {
    this.#shutdownFinished ??= this.#runShutdown();
    return this.#shutdownFinished;
  }

  async #runShutdown(): Promise<void> {
    const { settings, logger, network, permits, inFlight, claims } =
      this.#parts;
    this.#phase = "leaving";
    logger.info("shutdownStarted", { inFlight: inFlight.count });
    permits.startLeaving();
    network.announceLeaving();
    await sleep(settings.shutdown.accept_for_ms);
    await readPendingRequests(this.#server);
    this.#server.close();
    await readPendingRequests(this.#server);
    this.#server.closeIdleConnections();
    const isDrained = await Promise.race([
      inFlight.drained().then(() => true),
      sleep(settings.shutdown.drain_ms).then(() => false),
    ]);
    if (!isDrained) logger.error("drainTimedOut", { inFlight: inFlight.count });
    await claims.flush(CLAIM_FLUSH_TIMEOUT_MS);
    this.#phase = "closed";
    await closeParts(this.#parts);
    this.#server.closeAllConnections();
    logger.info("shutdownFinished");
  }

  #addRoutes(): void {
    const parts = this.#parts;
    const service: HttpService = restana({
      server: this.#server,
      defaultRoute: (_request, response) => {
        sendProblem(
          response,
          makeProblem("notFound", { detail: "No such path", notRun: true }),
        );
      },
      errorHandler: (error, _request, response) => {
        parts.logger.error("requestFailed", { detail: error.message });
        parts.metrics.countRefusal("internalError");
        // Calls to backend servers may already have been made before the error.
        sendProblem(
          response,
          makeProblem("internalError", {
            detail: "The daemon failed on this request",
            notRun: false,
          }),
        );
      },
    });
    // During shutdown, the load balancer must not reuse keep-alive connections.
    service.use((_request, response, next) => {
      if (this.#phase !== "running") response.setHeader("connection", "close");
      next();
    });
    addProbeRoutes(service, {
      readiness: () => this.readiness(),
      metrics: parts.metrics,
      latencies: parts.latencies,
    });
    addOperatorRoutes(service, {
      settings: parts.settings,
      configuration: parts.configuration,
      status: () => this.status(),
      metrics: parts.metrics,
      logger: parts.logger,
    });
    addCallerRoutes(service, {
      environment: makeEnvironment(parts),
      configuration: parts.configuration,
      inFlight: parts.inFlight,
      maxBodyBytes: parts.settings.requests.max_body_bytes,
      isRefusingRequests: () => this.#phase === "closed",
    });
  }
}

function formatAddress(server: Server): string {
  const address = server.address();
  if (address === null || typeof address === "string") return String(address);
  return `${address.address}:${address.port}`;
}
