/**
 * Supervises the rollouts of services to other software versions.
 *
 * While a rollout is undecided, its candidate gets requests only by permits of
 * the rollout owner. A VM without contact with the owner has none.
 *
 * @module
 */

import type {
  ServiceName,
  SoftwareVersion,
} from "@sassafrasstage/protocol/ids";
import type { StoredObject } from "@sassafrasstage/protocol/platform_objects";
import type {
  RolloutPermits,
  RolloutPhaseName,
  RolloutPhaseNews,
} from "@sassafrasstage/protocol/rollouts";
import type { Clock } from "../clock.js";
import type { ReadResult } from "../deployment/read_result.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { PeerNetwork } from "../peers/peer_network.js";
import type { StatusStore } from "../platform/object_store.js";
import type {
  RegisterChange,
  ServerRegister,
} from "../register/server_register.js";
import type { ServedVersionSource } from "../stream_versions/served_versions.js";
import { BlockedVersions } from "./blocked_versions.js";
import { CallsInFlight } from "./calls_in_flight.js";
import type { RolloutGate } from "./rollout_gate.js";
import { RolloutPeers } from "./rollout_peers.js";
import type {
  ExposureSettings,
  Rollout,
  RolloutObjectFormat,
} from "./rollout_request.js";
import { ServiceRollout } from "./service_rollout.js";
import { SupervisedService } from "./supervised_service.js";
import { VersionGate } from "./version_gate.js";
import { VersionSightings } from "./version_sightings.js";

export interface RolloutsOptions {
  readonly network: PeerNetwork & { setKnowsRollouts(): void };
  readonly store: StatusStore;
  readonly objectFormat: RolloutObjectFormat;
  readonly exposure: ExposureSettings;
  readonly register: ServerRegister;
  readonly served: ServedVersionSource;
  /** The era of the store to which the known rollout requests belong. */
  readonly era: () => number;
  /** Runs something repeatedly until the returned function is called. */
  readonly repeat?: (run: () => void, intervalMs: number) => () => void;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

const TICK_MS = 100;
/**
 * Time after a return of the store within which a missing rollout request may
 * only be lost; operators write again what a store has lost.
 */
const LOST_REQUEST_MS = 10_000;

const MAX_ENDED = 100;
/** Values of the metric; 0 means that there is no rollout. */
const PHASE_VALUES: Readonly<Record<RolloutPhaseName, number>> = {
  observing: 1,
  shifting: 2,
  completed: 3,
  rolledBack: 4,
};

export class Rollouts {
  /** Admits requests to servers. */
  readonly gate: RolloutGate;
  readonly #options: RolloutsOptions;
  readonly #services = new Map<ServiceName, SupervisedService>();
  readonly #peers: RolloutPeers;
  readonly #sightings: VersionSightings;
  readonly #blocked = new BlockedVersions();
  readonly #inFlight = new CallsInFlight();
  /** Requests that were removed or replaced, which other VMs may still know. */
  readonly #ended = new Set<string>();
  /** Services whose phase is a metric. */
  readonly #measured = new Set<ServiceName>();
  #stopTicks: (() => void) | undefined;
  #eraChangedAtMs = -Infinity;

  constructor(options: RolloutsOptions) {
    this.#options = options;
    const { network, clock, metrics } = options;
    this.#peers = new RolloutPeers(network);
    this.#sightings = new VersionSightings(clock.nowMs());
    this.gate = new VersionGate({
      ...options,
      viewOf: (service) => this.#services.get(service)?.view,
      sightings: this.#sightings,
      blocked: this.#blocked,
      inFlight: this.#inFlight,
    });
    network.setKnowsRollouts();
    network.messages.on("rolloutReport", ({ from, message }) => {
      this.#services.get(message.service)?.handleReport(from, message.report);
    });
    network.messages.on("rolloutPermits", ({ message }) => {
      this.#applyPermits(message.service, message.permits);
    });
    network.messages.on("rolloutPhase", ({ from, message }) => {
      this.#applyNews(message.service, message.news);
      if (!message.relay) return;
      this.#peers.relay(message.service, message.news, {
        except: from.vmId,
        nowMs: clock.nowMs(),
      });
    });
    metrics.registerGauge("rolloutsUndecided", () => this.#unsettled().length);
  }

  close(): void {
    this.#stopTicks?.();
    for (const supervised of this.#services.values()) supervised.close();
  }

  /** The operator has written a rollout request, or its status has changed. */
  applyObject(object: StoredObject): void {
    const result = this.#read(object);
    if (result.kind === "unreadable") return;
    const rollout = result.value;
    const { service, to, id } = rollout.request;
    const nowMs = this.#options.clock.nowMs();
    const known = this.#services.get(service);
    if (known?.view.rollout.request.id === id) {
      known.view.applyStored(rollout, nowMs);
      this.#recordPhase(service, known.view);
    } else {
      this.#registerPhase(service);
      const isLost = known !== undefined && known.view.candidate === to &&
        nowMs < this.#eraChangedAtMs + LOST_REQUEST_MS;
      known?.close();
      if (known !== undefined) this.#recordEnd(known.view);
      const view = new ServiceRollout(
        rollout,
        this.#options.exposure.rollbackMs,
        nowMs,
      );
      // A request that was lost and written again has the same verdict.
      if (isLost) view.applyDecision(known.view.furthestPhase, nowMs);
      else this.#blocked.delete(service, to);
      this.#services.set(service, this.#supervise(service, view));
      this.#options.logger.info("rolloutRequested", {
        service,
        to,
        request: id,
        durationMs: rollout.request.durationMs,
        state: rollout.state,
      });
      this.#recordPhase(service, view);
    }
    this.#updateTimer();
  }

  /** The operator has removed a rollout request. */
  removeObject(object: StoredObject): void {
    const result = this.#read(object);
    if (result.kind === "unreadable") return;
    const { service, id, to } = result.value.request;
    const known = this.#services.get(service);
    if (known?.view.rollout.request.id !== id) return;
    const { clock, logger } = this.#options;
    const isLost = clock.nowMs() < this.#eraChangedAtMs + LOST_REQUEST_MS;
    if (isLost && !known.view.isSettled) {
      logger.info("rolloutRequestLost", { service, to, request: id });
      return;
    }
    known.close();
    this.#recordEnd(known.view);
    this.#services.delete(service);
    logger.info("rolloutRequestRemoved", { service, to, request: id });
    this.#updateTimer();
  }

  /** Whether this VM owns the service's rollout now. */
  owns(service: ServiceName): boolean {
    return this.#services.get(service)?.isOwner ?? false;
  }

  /** The store came back from an older copy. */
  handleEraChange(): void {
    this.#eraChangedAtMs = this.#options.clock.nowMs();
  }

  handleServerChange(change: RegisterChange): void {
    const { clock, register } = this.#options;
    const { kind, server } = change;
    const nowMs = clock.nowMs();
    this.#blocked.handleServerChange(
      change,
      () =>
        register.serversOf(server.service).some(({ softwareVersion }) =>
          softwareVersion === server.softwareVersion
        ),
      nowMs,
    );
    if (kind !== "ended") this.#sightings.record(server, nowMs);
  }

  #applyPermits(service: ServiceName, permits: RolloutPermits): void {
    const known = this.#services.get(service);
    if (known?.view.rollout.request.id !== permits.request) {
      this.#announceUnknown(service, permits);
      return;
    }
    const nowMs = this.#options.clock.nowMs();
    const sentAtMs = known.sentAtMs(permits.sequence);
    if (sentAtMs === undefined) return;
    const isApplied = known.view.applyPermits(permits, { sentAtMs, nowMs });
    if (!isApplied) this.#options.metrics.countEvent("rolloutPermitsIgnored");
    this.#recordPhase(service, known.view);
  }

  #applyNews(service: ServiceName, news: RolloutPhaseNews): void {
    const known = this.#services.get(service);
    if (known?.view.rollout.request.id !== news.request) {
      this.#announceUnknown(service, news);
      return;
    }
    known.view.applyNews(news, this.#options.clock.nowMs());
    this.#recordPhase(service, known.view);
  }

  #recordEnd({ rollout }: ServiceRollout): void {
    this.#ended.add(rollout.request.id);
    const [oldest] = this.#ended;
    if (this.#ended.size > MAX_ENDED && oldest !== undefined) {
      this.#ended.delete(oldest);
    }
  }

  /** Another VM knows of a rollout request that hasn't arrived here yet. */
  #announceUnknown(
    service: ServiceName,
    { request, candidate, phase }: Pick<
      RolloutPhaseNews,
      "request" | "candidate" | "phase"
    >,
  ): void {
    if (phase === "completed" || this.#ended.has(request)) return;
    const nowMs = this.#options.clock.nowMs();
    this.#blocked.addBriefly(service, candidate, nowMs);
  }

  /** Keeps a version blocked that was rolled back, whatever becomes of its request. */
  #recordPhase(service: ServiceName, view: ServiceRollout): void {
    if (view.furthestPhase === "rolledBack") {
      this.#blocked.add(service, view.candidate);
    } else if (view.furthestPhase === "completed") {
      this.#blocked.delete(service, view.candidate);
    }
  }

  #unsettled(): [ServiceName, SupervisedService][] {
    return [...this.#services].filter(([, { view }]) => !view.isSettled);
  }

  #updateTimer(): void {
    const isNeeded = this.#unsettled().length > 0;
    if (!isNeeded) {
      this.#stopTicks?.();
      this.#stopTicks = undefined;
      for (const supervised of this.#services.values()) supervised.close();
      return;
    }
    const { repeat = repeatByTimer } = this.#options;
    this.#stopTicks ??= repeat(() => {
      this.#tick();
    }, TICK_MS);
  }

  #tick(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const [, supervised] of this.#unsettled()) supervised.tick(nowMs);
  }

  #hasSeenCurrent(service: ServiceName, candidate: SoftwareVersion): boolean {
    return this.#sightings.hasSeenOther(service, candidate) ||
      this.#options.served.recorded(service).versions
        .some((version) => version !== candidate);
  }

  #supervise(service: ServiceName, view: ServiceRollout): SupervisedService {
    return new SupervisedService({
      ...this.#options,
      service,
      view,
      peers: this.#peers,
      inFlightAtCurrent: () =>
        this.#inFlight.countOthers(service, view.candidate),
      hasSeenCurrent: () => this.#hasSeenCurrent(service, view.candidate),
      onChanged: () => {
        this.#recordPhase(service, view);
        this.#updateTimer();
      },
      applyPermits: (permits) => {
        this.#applyPermits(service, permits);
      },
    });
  }

  #registerPhase(service: ServiceName): void {
    if (this.#measured.has(service)) return;
    this.#measured.add(service);
    const { metrics, clock } = this.#options;
    metrics.registerGauge(`rolloutPhase.${service}`, () => {
      const phase = this.#services.get(service)?.view.phase(clock.nowMs());
      return phase === undefined ? 0 : PHASE_VALUES[phase];
    });
  }

  #read(object: StoredObject): ReadResult<Rollout> {
    const { objectFormat, metrics, logger } = this.#options;
    const result = objectFormat.readRollout(object);
    if (result.kind === "value") return result;
    metrics.countEvent("unreadableObject");
    logger.warn("unreadableObject", {
      key: object.key,
      revision: object.version,
      detail: result.detail,
    });
    return result;
  }
}

function repeatByTimer(run: () => void, intervalMs: number): () => void {
  const timer = setInterval(run, intervalMs);
  return () => {
    clearInterval(timer);
  };
}
