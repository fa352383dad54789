/**
 * The backend servers of an owned pool: their health, their limits, and which
 * of them have free slots.
 *
 * @module
 */

import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import type { WarmUpObservation } from "@sassafrasstage/protocol/peer_messages";
import type { Service } from "@sassafrasstage/protocol/register";
import type { BackendServerStatus } from "@sassafrasstage/protocol/status";
import {
  type CallReport,
  coldState,
  healthAfterCall,
  healthAfterIdleTime,
  isCold,
  observedWarmHealth,
  type ServerHealth,
  suspectedColdState,
} from "./backend_server_state.js";
import {
  describeStateChange,
  type StateChange,
  type StateChangeCause,
} from "./state_change.js";
import { type GrantRights, haveSameRights, NO_RIGHTS } from "./grant_rights.js";
import {
  availabilityOf,
  type PoolEntry,
  type PoolLayout,
  type VmAvailability,
} from "./pool_layout.js";
import { findOutage, type PoolOutage } from "./pool_outage.js";
import {
  createPooledServer,
  effectiveLimitOf,
  type PooledServer,
  toServerStatus,
} from "./pooled_server.js";
import { ServerSelector } from "./server_selector.js";
import type { WaitingRequest } from "./waiting_request.js";

const LATENCY_SMOOTHING = 0.3;

export interface ServerTableOptions {
  readonly entry: PoolEntry;
  readonly hasPrefixAffinity: boolean;
  /** Called when a server that was considered warm turns out to be cold. */
  readonly onCooled: (server: BackendServerId, nowMs: number) => void;
  /** Called when a server's state becomes one of another kind. */
  readonly onStateChanged: (change: StateChange) => void;
}

/** Why and when a server's health is updated. */
interface HealthUpdate {
  readonly cause: StateChangeCause;
  readonly nowMs: number;
}

/** Operations cost O(log n), except for those that concern all servers. */
export class ServerTable {
  readonly #servers = new Map<BackendServerId, PooledServer>();
  readonly #selector: ServerSelector;
  readonly #onCooled: ServerTableOptions["onCooled"];
  readonly #onStateChanged: ServerTableOptions["onStateChanged"];
  #service: Service;
  #rights = NO_RIGHTS;
  #latencySumMs = 0;
  #latencyCount = 0;
  #slots = 0;
  #inFlight = 0;
  #grantNumber = 0;

  constructor(options: ServerTableOptions) {
    this.#service = options.entry.service;
    this.#selector = new ServerSelector(options);
    this.#onCooled = options.onCooled;
    this.#onStateChanged = options.onStateChanged;
  }

  get service(): Service {
    return this.#service;
  }

  get hasFreeSlot(): boolean {
    return this.#selector.hasFreeSlot;
  }

  /** The sum of all current limits. */
  get slots(): number {
    return this.#slots;
  }

  /** Whether any server that isn't excluded may get new work. */
  hasServerFor(excluded: readonly BackendServerId[]): boolean {
    for (const server of this.#servers.values()) {
      if (server.availability !== "inService") continue;
      if (!excluded.includes(server.id)) return true;
    }
    return false;
  }

  /** Undefined unless every server in service is down. */
  outage(): PoolOutage | undefined {
    return findOutage(this.#servers.values());
  }

  statuses(): BackendServerStatus[] {
    return [...this.#servers.values()].map(toServerStatus);
  }

  choose(waiting: WaitingRequest, nowMs: number): PooledServer | undefined {
    return this.#selector.choose(waiting, nowMs);
  }

  /** Applies a new configuration or VM list. */
  configure(
    entry: PoolEntry,
    snapshot: {
      readonly layout: PoolLayout;
      readonly vms: VmAvailability;
      readonly nowMs: number;
    },
  ): void {
    this.#service = entry.service;
    const listed = new Set(entry.servers.map((server) => server.id));
    for (const server of this.#servers.values()) {
      // A removed server stays in the table while it has calls in flight.
      if (!listed.has(server.id)) server.availability = "out";
      if (listed.has(server.id) || server.inFlight > 0) continue;
      this.#slots -= server.limit;
      this.#forgetLatency(server);
      this.#selector.remove(server);
      this.#servers.delete(server.id);
    }
    for (const registered of entry.servers) {
      const server = this.#servers.get(registered.id) ??
        createPooledServer(registered.id, snapshot.nowMs);
      this.#servers.set(server.id, server);
      const wasInService = server.availability === "inService";
      server.availability = availabilityOf(
        registered,
        snapshot.layout,
        snapshot.vms,
      );
      const isBackInService = !wasInService &&
        server.availability === "inService";
      if (isBackInService) this.#markColdOnReturn(server, snapshot.nowMs);
    }
    this.refresh(snapshot.nowMs);
  }

  setRights(rights: GrantRights, nowMs: number): void {
    if (haveSameRights(rights, this.#rights)) return;
    this.#rights = rights;
    this.refresh(nowMs);
  }

  /** Updates every server for the time that has passed. */
  refresh(nowMs: number): void {
    for (const server of this.#servers.values()) {
      const next = healthAfterIdleTime(server.health, {
        service: this.#service,
        nowMs,
      });
      this.#setHealth(server, next, { cause: { kind: "idle" }, nowMs });
    }
  }

  countGrant(id: BackendServerId, nowMs: number): void {
    const server = this.#servers.get(id);
    if (server === undefined) return;
    this.#grantNumber += 1;
    server.lastGrantNumber = this.#grantNumber;
    this.#addInFlight(server, 1);
    this.#updateLimit(server, nowMs);
  }

  countEnd(id: BackendServerId, nowMs: number): void {
    const server = this.#servers.get(id);
    if (server === undefined) return;
    this.#addInFlight(server, -1);
    this.#updateLimit(server, nowMs);
  }

  isCold(id: BackendServerId): boolean {
    const server = this.#servers.get(id);
    return server === undefined || isCold(server.health.state);
  }

  /** Updates a server's health from the outcome of a call. */
  report(id: BackendServerId, report: CallReport, nowMs: number): void {
    const server = this.#servers.get(id);
    if (server === undefined) return;
    const context = { service: this.#service, nowMs };
    this.#setHealth(
      server,
      healthAfterCall(server.health, report, context),
      { cause: { kind: "callEnded", report }, nowMs },
    );
  }

  /** The mean recent latency of the pool's other servers; 0 if none is known. */
  meanLatencyOfOthers(id: BackendServerId): number {
    const recentMs = this.#servers.get(id)?.recentLatencyMs;
    const others = this.#latencyCount - (recentMs === undefined ? 0 : 1);
    if (others <= 0) return 0;
    return (this.#latencySumMs - (recentMs ?? 0)) / others;
  }

  recordLatency(id: BackendServerId, sampleMs: number): void {
    const server = this.#servers.get(id);
    if (server === undefined) return;
    const beforeMs = server.recentLatencyMs;
    const afterMs = beforeMs === undefined
      ? sampleMs
      : beforeMs + LATENCY_SMOOTHING * (sampleMs - beforeMs);
    server.recentLatencyMs = afterMs;
    this.#latencySumMs += afterMs - (beforeMs ?? 0);
    this.#latencyCount += beforeMs === undefined ? 1 : 0;
  }

  /** Applies recent observations of warm servers to those in state `unknown`. */
  adoptObservations(
    observations: readonly WarmUpObservation[],
    nowMs: number,
  ): void {
    const context = { service: this.#service, nowMs };
    for (const observation of observations) {
      const server = this.#servers.get(observation.backendServerId);
      if (server?.health.state.kind !== "unknown") continue;
      if (observation.warmUpState === "cold") continue;
      if (observation.ageMs >= this.#service.coldAfterIdleMs) continue;
      const seenAtMs = nowMs - observation.ageMs;
      const { inFlight } = server;
      const next = observedWarmHealth({ inFlight, seenAtMs }, context);
      const cause = { kind: "observedWarm", ageMs: observation.ageMs } as const;
      this.#setHealth(server, next, { cause, nowMs });
    }
  }

  /** A daemon observed a sign of a cold start at the given time. */
  recordColdStart(
    id: BackendServerId,
    times: { readonly seenAtMs: number; readonly nowMs: number },
  ): void {
    const server = this.#servers.get(id);
    if (server === undefined || isCold(server.health.state)) return;
    if (times.seenAtMs < server.health.state.sinceMs) return;
    const health = { ...server.health, state: suspectedColdState(times.nowMs) };
    const { nowMs } = times;
    const ageMs = nowMs - times.seenAtMs;
    const cause = { kind: "observedCold", ageMs } as const;
    this.#setHealth(server, health, { cause, nowMs });
  }

  /** Whether it stayed warm while out of service is unknown. */
  #markColdOnReturn(server: PooledServer, nowMs: number): void {
    if (isCold(server.health.state)) return;
    this.#setHealth(
      server,
      { ...server.health, state: coldState(nowMs) },
      { cause: { kind: "backInService" }, nowMs },
    );
  }

  #setHealth(
    server: PooledServer,
    next: ServerHealth,
    update: HealthUpdate,
  ): void {
    const { cause, nowMs } = update;
    const before = server.health.state;
    const hasCooled = !isCold(before) && isCold(next.state);
    server.health = next;
    this.#updateLimit(server, nowMs);
    const change = describeStateChange(server, { before, cause, nowMs });
    if (change !== undefined) this.#onStateChanged(change);
    if (!hasCooled) return;
    this.#forgetLatency(server);
    this.#onCooled(server.id, nowMs);
  }

  #forgetLatency(server: PooledServer): void {
    if (server.recentLatencyMs === undefined) return;
    this.#latencySumMs -= server.recentLatencyMs;
    this.#latencyCount -= 1;
    server.recentLatencyMs = undefined;
  }

  #addInFlight(server: PooledServer, change: 1 | -1): void {
    server.inFlight += change;
    this.#inFlight += change;
    this.#selector.setTotalInFlight(this.#inFlight);
  }

  #updateLimit(server: PooledServer, nowMs: number): void {
    const limit = effectiveLimitOf(server, {
      service: this.#service,
      rights: this.#rights,
      nowMs,
    });
    this.#slots += limit - server.limit;
    server.limit = limit;
    this.#selector.update(server);
  }
}
