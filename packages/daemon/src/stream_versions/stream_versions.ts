/**
 * Finds the software version at which a stream may go on: the one that began
 * it. Its VM may be gone, so other VMs remember the version too.
 *
 * @module
 */

import type { AttemptId, ServiceName } from "@sassafrasstage/protocol/ids";
import type {
  StreamOrigin,
  VersionObservation,
} from "@sassafrasstage/protocol/stream_origin";
import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { PeerNetwork } from "../peers/peer_network.js";
import { rankByRendezvous } from "../peers/rendezvous.js";
import type {
  RegisteredServer,
  ServerRegister,
} from "../register/server_register.js";
import { OriginHolders } from "./origin_holders.js";
import {
  type OriginAnswers,
  OriginLookup,
  type OriginQuestion,
} from "./origin_lookup.js";
import { StreamOrigins } from "./stream_origins.js";
import { findOnlyVersion, VersionHistory } from "./version_history.js";

export interface StreamVersionsOptions {
  readonly network: PeerNetwork;
  readonly register: ServerRegister;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** A request with which a client takes a stream up. */
export interface StreamResumption {
  /** The client's new attempt. */
  readonly request: AttemptId;
  /** The attempt that brought the first event, if the client names it. */
  readonly resumedAttemptId: AttemptId | undefined;
  /** The service to which the request goes unless the stream began elsewhere. */
  readonly service: ServiceName;
}

export class StreamVersions {
  readonly #options: StreamVersionsOptions;
  readonly #origins = new StreamOrigins();
  readonly #holders = new OriginHolders();
  readonly #history: VersionHistory;
  readonly #lookup: OriginLookup;

  constructor(options: StreamVersionsOptions) {
    this.#options = options;
    const { network, clock, metrics } = options;
    this.#history = new VersionHistory(
      options.register,
      clock.nowMs(),
    );
    this.#lookup = new OriginLookup(network);
    network.messages.on("streamBegun", ({ message }) => {
      const { attemptId, origin, relay } = message;
      this.#origins.set(attemptId, origin, clock.nowMs());
      if (relay) this.#tellHolders(attemptId, origin);
    });
    network.messages.on("streamOriginRequest", ({ from, message }) => {
      const { requestNumber, attemptId, service } = message;
      const nowMs = clock.nowMs();
      const origin = attemptId === undefined
        ? undefined
        : this.#origins.get(attemptId, nowMs);
      network.send(from.vmId, {
        type: "streamOriginReply",
        requestNumber,
        ...(origin === undefined ? {} : { origin }),
        observation: this.#history.observe(service, nowMs),
      });
    });
    metrics.registerGauge("streamOrigins", () => this.#origins.size);
  }

  /** Called with the first event of a stream, before the client gets it. */
  recordBegin(attemptId: AttemptId, origin: StreamOrigin): void {
    const { network, clock } = this.#options;
    const nowMs = clock.nowMs();
    this.#origins.set(attemptId, origin, nowMs);
    this.#tellHolders(attemptId, origin);
    const view = network.view(nowMs);
    for (const dataCentre of this.#holders.dataCentres(view)) {
      if (dataCentre === network.self.dataCentre) continue;
      // In large fleets, this VM keeps a connection to the first of the ranking.
      const [relay] = rankByRendezvous(
        network.self.vmId,
        this.#holders.vmsOf(dataCentre, view),
      );
      if (relay === undefined) continue;
      network.send(relay, {
        type: "streamBegun",
        attemptId,
        origin,
        relay: true,
      });
    }
  }

  recordServerEnded(server: RegisteredServer): void {
    this.#history.recordEnded(server, this.#options.clock.nowMs());
  }

  /**
   * Finds where the stream began that a client takes up. Undefined if that can't
   * be known: the stream must not go on then.
   */
  async find(resumption: StreamResumption): Promise<StreamOrigin | undefined> {
    const { metrics, logger } = this.#options;
    const { request, resumedAttemptId, service } = resumption;
    const question = { attemptId: resumedAttemptId, service };
    const answers = await this.#findOrigin(question);
    const origin = answers.origin ??
      this.#inferOrigin(question, answers.observations);
    const source = answers.origin === undefined ? "onlyVersion" : "remembered";
    const result = origin === undefined ? "unknown" : source;
    metrics.countEvent(`streamOrigin.${result}`);
    logger.info("streamOrigin", {
      request,
      resumes: resumedAttemptId,
      result,
      answers: answers.observations.length,
      service: origin?.service,
      softwareVersion: origin?.softwareVersion,
    });
    return origin;
  }

  async #findOrigin(question: OriginQuestion): Promise<OriginAnswers> {
    const { network, clock } = this.#options;
    const { attemptId, service } = question;
    const nowMs = clock.nowMs();
    const own = attemptId === undefined
      ? undefined
      : this.#origins.get(attemptId, nowMs);
    if (own !== undefined) return { origin: own, observations: [] };
    const view = network.view(nowMs);
    const { dataCentre } = network.self;
    const key = attemptId ?? service;
    const near = await this.#lookup.ask(
      this.#holders.inDataCentre(key, dataCentre, view),
      question,
    );
    if (near.origin !== undefined) return near;
    const others = this.#holders.dataCentres(view)
      .filter((candidate) => candidate !== dataCentre)
      .flatMap((other) => this.#holders.inDataCentre(key, other, view));
    const far = await this.#lookup.ask(others, question);
    return {
      origin: far.origin,
      observations: [...near.observations, ...far.observations],
    };
  }

  /**
   * A client that doesn't name the attempt can take up any stream, so nothing
   * but the versions can tell where it began. One that names an attempt that no
   * VM remembers takes up a stream from before the VMs lost their memory.
   */
  #inferOrigin(
    { attemptId, service }: OriginQuestion,
    observations: readonly VersionObservation[],
  ): StreamOrigin | undefined {
    const own = this.#history.observe(service, this.#options.clock.nowMs());
    const softwareVersion = findOnlyVersion([own, ...observations], {
      needsComplete: attemptId !== undefined,
    });
    return softwareVersion === undefined
      ? undefined
      : { service, softwareVersion };
  }

  /** Tells the VMs of this data centre that remember the stream. */
  #tellHolders(attemptId: AttemptId, origin: StreamOrigin): void {
    const { network, clock } = this.#options;
    const view = network.view(clock.nowMs());
    const { dataCentre } = network.self;
    for (
      const vmId of this.#holders.inDataCentre(attemptId, dataCentre, view)
    ) {
      network.send(vmId, {
        type: "streamBegun",
        attemptId,
        origin,
        relay: false,
      });
    }
  }
}
