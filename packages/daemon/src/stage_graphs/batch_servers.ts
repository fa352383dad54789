/**
 * The backend servers available to a scheduler, with the state of each.
 *
 * @module
 */

import type {
  BackendServerId,
  ServiceName,
} from "@sassafrasstage/protocol/ids";
import type { ServerRegister } from "../register/server_register.js";
import {
  type AdmittedServers,
  type ExposurePermit,
  NO_ROLLOUTS,
  type RolloutGate,
} from "../rollouts/rollout_gate.js";
import type { BatchLimits } from "../routing/routing_configuration.js";
import type { CallRateLimits } from "./batch_scheduler_options.js";
import { BatchServer, nominalCallMs } from "./batch_server.js";
import { ServerSpeed, ServiceSpeed } from "../server_load/server_speed.js";
import type { BatchPlanInput } from "./plan_batches.js";

const MS_PER_SECOND = 1000;

export interface BatchServersOptions {
  readonly rateLimits: CallRateLimits;
  readonly register: ServerRegister;
  readonly limitsOf: (service: ServiceName) => BatchLimits | undefined;
  readonly rollouts?: RolloutGate | undefined;
}

export type ServersToPlan = Pick<
  BatchPlanInput,
  "idle" | "dataCentres" | "nextFreeAtMs"
>;

/** The name under which a rollout counts the calls of a stage service. */
export function routeOfStages(service: ServiceName): string {
  return service;
}

export class BatchServers {
  readonly #options: BatchServersOptions;
  readonly #servers = new Map<BackendServerId, BatchServer>();
  readonly #speeds = new Map<ServiceName, ServiceSpeed>();

  constructor(options: BatchServersOptions) {
    this.#options = options;
  }

  get(id: BackendServerId): BatchServer | undefined {
    return this.#servers.get(id);
  }

  forget(id: BackendServerId): void {
    this.#servers.delete(id);
  }

  /** The servers of the service that accept new work, some only by permit. */
  usable(service: ServiceName): BatchServer[] {
    const { free, permitted } = this.#split(service, this.#known(service));
    return [...free, ...permitted];
  }

  /** Undefined if the server needs no permit now. */
  takePermit({ server }: BatchServer): ExposurePermit | "missing" | undefined {
    const { rollouts = NO_ROLLOUTS } = this.#options;
    switch (rollouts.admits(server, { isContinuation: false })) {
      case "freely":
        return undefined;
      case "withPermit":
        return rollouts.takePermit(server, routeOfStages(server.service)) ??
          "missing";
      case "never":
        return "missing";
    }
  }

  #split(
    service: ServiceName,
    servers: readonly BatchServer[],
  ): AdmittedServers<BatchServer> {
    const { rollouts = NO_ROLLOUTS } = this.#options;
    return rollouts.split(service, servers, { isContinuation: false });
  }

  #known(service: ServiceName): BatchServer[] {
    const limits = this.#options.limitsOf(service);
    if (limits === undefined) return [];
    return this.#options.register.usableServers(service).map((server) => {
      const existing = this.#servers.get(server.id);
      if (existing !== undefined) {
        existing.server = server;
        existing.limits = limits;
        return existing;
      }
      const added = new BatchServer(
        server,
        limits,
        new ServerSpeed(this.#speedOf(service)),
      );
      this.#servers.set(server.id, added);
      return added;
    });
  }

  #speedOf(service: ServiceName): ServiceSpeed {
    let speed = this.#speeds.get(service);
    if (speed === undefined) {
      speed = new ServiceSpeed();
      this.#speeds.set(service, speed);
    }
    return speed;
  }

  /**
   * The usable servers that are reachable, or all usable ones if none is.
   *
   * Load pattern: during a network partition, a call to an unreachable server
   * blocks its items until the timeout, although servers on this side of the
   * partition could have processed them.
   */
  reachable(service: ServiceName, nowMs: number): BatchServer[] {
    const usable = this.usable(service);
    const reachable = usable.filter((server) => server.isReachable(nowMs));
    return reachable.length > 0 ? reachable : usable;
  }

  /** The servers among which the next calls of the service are planned. */
  planView(service: ServiceName, nowMs: number): ServersToPlan {
    const { rateLimits, rollouts = NO_ROLLOUTS } = this.#options;
    const { free, permitted } = this.#split(
      service,
      this.reachable(service, nowMs),
    );
    // Work doesn't wait for servers that it may not get a permit for.
    const servers = free.length > 0 ? free : permitted;
    const permits = permitted.length === 0
      ? 0
      : rollouts.permitCount(service, routeOfStages(service));
    const exposed = permitted
      .filter((server) => server.canStartCall(nowMs))
      .slice(0, permits);
    const idle = free.filter((server) => server.canStartCall(nowMs));
    const busy = servers.filter((server) => !server.canStartCall(nowMs));
    return {
      // The first of servers that are equally good gets the call.
      idle: [...exposed, ...idle]
        .filter(({ server }) => rateLimits.reserve(server.id, nowMs)),
      dataCentres: new Set(
        servers.filter((server) => server.isHealthy(nowMs))
          .map(({ server }) => server.dataCentre),
      ),
      nextFreeAtMs: busy.length === 0
        ? undefined
        : Math.min(...busy.map((server) => server.expectedFreeAtMs)),
    };
  }

  /** Capacity of the reachable servers, in concurrent calls of nominal speed. */
  capacityOf(service: ServiceName, nowMs: number): number {
    let capacity = 0;
    for (const server of this.reachable(service, nowMs)) {
      capacity += Math.min(
        server.limits.maxConcurrentCalls /
          (server.slowdown(nowMs) * (1 + server.othersCalls(nowMs))),
        this.#rateCapacity(server),
      );
    }
    return capacity;
  }

  /** Concurrent full calls that the server's rate limit amounts to. */
  #rateCapacity({ server, limits }: BatchServer): number {
    const rate = this.#options.rateLimits.requestsPerSecond(server.id);
    if (rate === undefined) return Infinity;
    return rate * nominalCallMs(limits, limits.maxItems) / MS_PER_SECOND;
  }
}
