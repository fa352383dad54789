/**
 * Decides which servers new work may go to during rollouts.
 *
 * @module
 */

import type {
  ServiceName,
  SoftwareVersion,
} from "@sassafrasstage/protocol/ids";
import type { Clock } from "../clock.js";
import type { Metrics } from "../observability/metrics.js";
import type {
  RegisteredServer,
  ServerRegister,
} from "../register/server_register.js";
import type { BlockedVersions } from "./blocked_versions.js";
import type { CallsInFlight } from "./calls_in_flight.js";
import type {
  AdmissionOptions,
  AdmittedServers,
  ExposurePermit,
  RolloutCall,
  RolloutGate,
  ServerAdmission,
} from "./rollout_gate.js";
import type { ServiceRollout } from "./service_rollout.js";
import type { VersionSightings } from "./version_sightings.js";

export interface VersionGateOptions {
  readonly register: ServerRegister;
  /** Undefined for a service without a rollout request. */
  readonly viewOf: (service: ServiceName) => ServiceRollout | undefined;
  readonly sightings: VersionSightings;
  readonly blocked: BlockedVersions;
  readonly inFlight: CallsInFlight;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/**
 * Versions that are first seen up to this time after a rollout was completed
 * count as former ones, as a VM that has just started may learn of servers later
 * than of the rollout.
 */
const FORMER_VERSION_MARGIN_MS = 2000;
const NO_VERSIONS: ReadonlySet<SoftwareVersion> = new Set();

export class VersionGate implements RolloutGate {
  readonly #options: VersionGateOptions;

  constructor(options: VersionGateOptions) {
    this.#options = options;
  }

  admits(
    server: RegisteredServer,
    options: AdmissionOptions,
  ): ServerAdmission {
    const { service, softwareVersion } = server;
    const nowMs = this.#options.clock.nowMs();
    if (this.#options.blocked.has(service, softwareVersion, nowMs)) {
      return "never";
    }
    const view = this.#options.viewOf(service);
    const isCandidate = view?.candidate === softwareVersion;
    if (
      !isCandidate &&
      this.#options.sightings.isHeld(service, softwareVersion, nowMs)
    ) return "never";
    if (view === undefined) return "freely";
    return view.admits(
      server,
      { ...options, nowMs },
      () => this.#formerVersions(service, view),
    );
  }

  split<Server extends { readonly server: RegisteredServer }>(
    _: ServiceName,
    servers: readonly Server[],
    options: AdmissionOptions,
  ): AdmittedServers<Server> {
    const free: Server[] = [];
    const permitted: Server[] = [];
    for (const entry of servers) {
      const admission = this.admits(entry.server, options);
      if (admission === "freely") free.push(entry);
      else if (admission === "withPermit") permitted.push(entry);
    }
    return { free, permitted };
  }

  permitCount(service: ServiceName, route: string): number {
    const view = this.#options.viewOf(service);
    if (view === undefined) return 0;
    return view.permits.count(route, this.#options.clock.nowMs());
  }

  takePermit(
    server: RegisteredServer,
    route: string,
  ): ExposurePermit | undefined {
    const { clock, metrics } = this.#options;
    const permit = this.#options.viewOf(server.service)
      ?.takePermit(server, route, clock.nowMs());
    if (permit !== undefined) metrics.countEvent("rolloutPermitsUsed");
    return permit;
  }

  maySend(
    server: RegisteredServer,
    permit: Pick<ExposurePermit, "expiresAtMs"> | undefined,
    options: AdmissionOptions,
  ): boolean {
    const nowMs = this.#options.clock.nowMs();
    const view = this.#options.viewOf(server.service);
    // The permits may be for other servers of the candidate by now.
    const needsPermit = view?.candidate === server.softwareVersion &&
      view.phase(nowMs) === "observing";
    if (needsPermit) {
      return permit !== undefined && nowMs < permit.expiresAtMs &&
        !this.#options.blocked.has(
          server.service,
          server.softwareVersion,
          nowMs,
        );
    }
    return this.admits(server, options) === "freely";
  }

  beginCall(server: RegisteredServer, route: string, cost = 1): RolloutCall {
    const { clock, metrics } = this.#options;
    const view = this.#options.viewOf(server.service);
    const isCounted = view !== undefined && !view.isSettled;
    const counted = isCounted
      ? view.counters.begin(server, { route, cost, clock })
      : undefined;
    const isCandidate = view?.candidate === server.softwareVersion;
    const end = this.#options.inFlight.begin(server);
    return {
      recordSend: () => {
        counted?.recordSend();
      },
      recordEvent: () => {
        counted?.recordEvent();
      },
      end: (outcome, durationMs) => {
        if (!end()) return;
        counted?.end(outcome, durationMs);
        if (isCounted && isCandidate && outcome === "failed") {
          metrics.countEvent("rolloutBadAnswers");
        }
      },
    };
  }

  #formerVersions(
    service: ServiceName,
    { candidate, completedAtMs }: ServiceRollout,
  ): ReadonlySet<SoftwareVersion> {
    const isServed = this.#options.register.serversOf(service)
      .some(({ softwareVersion }) => softwareVersion === candidate);
    // A later release without a rollout may have replaced it.
    if (!isServed) return NO_VERSIONS;
    return this.#options.sightings.seenBefore(
      service,
      candidate,
      (completedAtMs ?? Infinity) + FORMER_VERSION_MARGIN_MS,
    );
  }
}
