/**
 * Finds the software version at which a stream may go on: the one that began
 * it. Its VM may be gone, so other VMs remember the version too.
 *
 * @module
 */

import type {
  AttemptId,
  ServiceName,
  VmId,
} from "@sassafrasstage/protocol/ids";
import type {
  BegunStreams,
  StreamOrigin,
} from "@sassafrasstage/protocol/stream_origin";
import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { TakeBegunStreams } from "../peers/heartbeat_content.js";
import { isFullMesh } from "../peers/link_policy.js";
import type { PeerNetwork } from "../peers/peer_network.js";
import {
  findReachableMembers,
  groupByDataCentre,
} from "../peers/reachable_members.js";
import { rankByRendezvous } from "../peers/rendezvous.js";
import type {
  RegisteredServer,
  ServerRegister,
} from "../register/server_register.js";
import { BegunStreamsBuffer } from "./begun_streams_buffer.js";
import {
  type OriginAnswers,
  OriginLookup,
  type OriginQuestion,
} from "./origin_lookup.js";
import type { ServedVersionSource } from "./served_versions.js";
import { StreamOrigins } from "./stream_origins.js";
import { findOnlyVersion, VersionHistory } from "./version_history.js";

export interface StreamVersionsOptions {
  readonly network: PeerNetwork & {
    setBegunStreams(take: TakeBegunStreams): void;
  };
  readonly register: ServerRegister;
  readonly served: ServedVersionSource;
  /** Brings the register up to date; false if the store doesn't answer. */
  readonly confirmRegister: () => Promise<boolean>;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** More than one, as one of them may just have been restarted. */
const ASKED_PER_DATA_CENTRE = 2;
/** Largest number of peers in a data centre that all remember its streams. */
const MAX_TOLD_BY_HEARTBEAT = 15;

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
  readonly #begunHere = new BegunStreamsBuffer();
  /** Began in other data centres of a large fleet. */
  readonly #begunElsewhere = new BegunStreamsBuffer();
  readonly #history: VersionHistory;
  readonly #lookup: OriginLookup;

  constructor(options: StreamVersionsOptions) {
    this.#options = options;
    const { network, clock, metrics } = options;
    this.#history = new VersionHistory(
      options.register,
      options.served,
      clock.nowMs(),
    );
    this.#lookup = new OriginLookup(network);
    network.setBegunStreams((nowMs) => this.#takeBegunStreams(nowMs));
    network.messages.on("heartbeat", ({ message }) => {
      this.#remember(message.begunStreams ?? []);
    });
    network.messages.on("streamsBegun", ({ message }) => {
      this.#remember(message.begunStreams);
      if (message.relay === false) return;
      for (const { origin, attemptIds } of message.begunStreams) {
        this.#begunElsewhere.add(origin, attemptIds);
      }
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
    this.#origins.set(attemptId, origin, this.#options.clock.nowMs());
    this.#begunHere.add(origin, [attemptId]);
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
      await this.#inferOrigin(service, answers);
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
    const { attemptId, service } = question;
    const nowMs = this.#options.clock.nowMs();
    const own = attemptId === undefined
      ? undefined
      : this.#origins.get(attemptId, nowMs);
    if (own !== undefined) {
      return { origin: own, answeredBy: [], observations: [] };
    }
    const { near, far } = this.#chooseVmsToAsk(attemptId ?? service, nowMs);
    const nearAnswers = await this.#lookup.ask(near, question);
    if (nearAnswers.origin !== undefined) return nearAnswers;
    const farAnswers = await this.#lookup.ask(far, question);
    return {
      origin: farAnswers.origin,
      answeredBy: [...nearAnswers.answeredBy, ...farAnswers.answeredBy],
      observations: [...nearAnswers.observations, ...farAnswers.observations],
    };
  }

  /** A few VMs of each data centre, as all VMs of one remember the same. */
  #chooseVmsToAsk(
    key: string,
    nowMs: number,
  ): { readonly near: VmId[]; readonly far: VmId[] } {
    const { network } = this.#options;
    const near: VmId[] = [];
    const far: VmId[] = [];
    const members = findReachableMembers(network.view(nowMs));
    for (const [dataCentre, vmIds] of groupByDataCentre(members)) {
      const asked = rankByRendezvous(key, vmIds)
        .slice(0, ASKED_PER_DATA_CENTRE);
      if (dataCentre === network.self.dataCentre) near.push(...asked);
      else far.push(...asked);
    }
    return { near, far };
  }

  /**
   * No VM remembers the stream, or the client doesn't name it: only the versions
   * can tell where it began.
   */
  async #inferOrigin(
    service: ServiceName,
    { answeredBy, observations }: OriginAnswers,
  ): Promise<StreamOrigin | undefined> {
    const { confirmRegister, clock } = this.#options;
    const isUpToDate = this.#haveAllDataCentresAnswered(answeredBy) ||
      await confirmRegister();
    if (!isUpToDate) return undefined;
    const own = this.#history.observe(service, clock.nowMs());
    const softwareVersion = findOnlyVersion([own, ...observations]);
    return softwareVersion === undefined
      ? undefined
      : { service, softwareVersion };
  }

  /**
   * Otherwise this VM may be cut off, and the stream may have begun elsewhere at
   * a version that has joined since. Ended VMs count too: they can't be told from
   * VMs beyond a cut that refuses connections.
   */
  #haveAllDataCentresAnswered(answeredBy: readonly VmId[]): boolean {
    const { network, clock } = this.#options;
    const others = network.view(clock.nowMs()).members
      .filter(({ isSelf }) => !isSelf);
    return [...groupByDataCentre(others).values()]
      .every((vmIds) => vmIds.some((vmId) => answeredBy.includes(vmId)));
  }

  #remember(begunStreams: readonly BegunStreams[]): void {
    const nowMs = this.#options.clock.nowMs();
    for (const { origin, attemptIds } of begunStreams) {
      for (const id of attemptIds) this.#origins.set(id, origin, nowMs);
    }
  }

  /** The streams of which the next heartbeat tells the other VMs. */
  #takeBegunStreams(nowMs: number): BegunStreams[] {
    const begunHere = this.#begunHere.take();
    if (begunHere.length > 0) this.#tellOtherDataCentres(begunHere, nowMs);
    const begun = [...begunHere, ...this.#begunElsewhere.take()];
    if (begun.length === 0) return begun;
    const { network } = this.#options;
    const local = findReachableMembers(network.view(nowMs))
      .filter(({ dataCentre }) => dataCentre === network.self.dataCentre)
      .map(({ vmId }) => vmId);
    if (local.length <= MAX_TOLD_BY_HEARTBEAT) return begun;
    this.#tellThoseAsked(begun, local);
    return [];
  }

  /**
   * In a large data centre, tells only the VMs that are asked for the stream, and
   * one more in case that one of them fails.
   */
  #tellThoseAsked(
    begunStreams: readonly BegunStreams[],
    local: readonly VmId[],
  ): void {
    const { network } = this.#options;
    const candidates = [...local, network.self.vmId];
    const byVm = new Map<VmId, BegunStreamsBuffer>();
    for (const { origin, attemptIds } of begunStreams) {
      for (const attemptId of attemptIds) {
        const told = rankByRendezvous(attemptId, candidates)
          .slice(0, ASKED_PER_DATA_CENTRE + 1);
        for (const vmId of told) {
          const buffer = byVm.get(vmId) ?? new BegunStreamsBuffer();
          buffer.add(origin, [attemptId]);
          byVm.set(vmId, buffer);
        }
      }
    }
    byVm.delete(network.self.vmId);
    for (const [vmId, buffer] of byVm) {
      network.send(vmId, {
        type: "streamsBegun",
        begunStreams: buffer.take(),
        relay: false,
      });
    }
  }

  /** In a large fleet, heartbeats don't tell the VMs of other data centres. */
  #tellOtherDataCentres(
    begunStreams: readonly BegunStreams[],
    nowMs: number,
  ): void {
    const { network } = this.#options;
    const members = findReachableMembers(network.view(nowMs));
    if (isFullMesh(members.length + 1)) return;
    for (const [dataCentre, vmIds] of groupByDataCentre(members)) {
      if (dataCentre === network.self.dataCentre) continue;
      // This VM keeps a connection to the first of the ranking.
      const [relay] = rankByRendezvous(network.self.vmId, vmIds);
      if (relay === undefined) continue;
      network.send(relay, { type: "streamsBegun", begunStreams });
    }
  }
}
