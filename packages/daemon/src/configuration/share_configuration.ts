/**
 * Distributes the configuration in force between daemons. Each daemon announces
 * its generation. A daemon with a lower generation requests the newer
 * configuration and receives the deltas since its own generation, or the full
 * configuration if those are no longer stored.
 *
 * @module
 */

import {
  checkConfiguration,
  type Configuration,
} from "@sassafrasstage/protocol/configuration";
import type { ConfigurationDelta } from "@sassafrasstage/protocol/configuration_delta";
import type { DataCentreName, VmId } from "@sassafrasstage/protocol/ids";
import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type {
  Member,
  PeerIdentity,
  PeerNetwork,
} from "../peers/peer_network.js";
import { rankByRendezvous } from "../peers/rendezvous.js";
import type {
  AdoptedConfiguration,
  ConfigurationOrigin,
} from "./adopted_configuration.js";
import { applyDeltas } from "./configuration_deltas.js";

/** Time that a peer has to respond before another request is sent. */
const RESPONSE_TIMEOUT_MS = 250;
/** Interval of the announcements to daemons of other data centres. */
const ANNOUNCE_INTERVAL_MS = 1000;
const ANNOUNCE_TARGETS_PER_DATA_CENTRE = 2;

export interface ConfigurationSharingOptions {
  readonly network: PeerNetwork;
  readonly adopted: AdoptedConfiguration;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Announces, requests and sends configurations until it is closed. */
export class ConfigurationSharing {
  readonly #options: ConfigurationSharingOptions;
  readonly #unsubscribers: readonly (() => void)[];
  readonly #timer: NodeJS.Timeout;
  #requestedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: ConfigurationSharingOptions) {
    const { network } = options;
    const { messages, lifecycle } = network;
    this.#options = options;
    this.#unsubscribers = [
      lifecycle.on("connected", (received) => {
        this.#sendRequest(received.vmId);
      }),
      messages.on("heartbeat", (received) => {
        this.#handlePeerGeneration(received.from, received.message.generation);
      }),
      messages.on("heartbeatReply", (received) => {
        this.#handlePeerGeneration(received.from, received.message.generation);
      }),
      messages.on("configurationRequest", (received) => {
        this.#handleRequest(received.from, received.message.knownGeneration);
      }),
      messages.on("configuration", (received) => {
        this.#handleConfiguration(
          received.from,
          received.message.configuration,
        );
      }),
      messages.on("configurationDelta", (received) => {
        this.#handleDeltas(received.from, received.message.deltas);
      }),
    ];
    this.#timer = setInterval(() => {
      this.#announceToOtherDataCentres();
    }, ANNOUNCE_INTERVAL_MS);
  }

  /**
   * Announces a new generation to the other daemons. A configuration that came
   * from the same data centre was already announced there by the daemon that
   * learned it first.
   */
  announce(origin: ConfigurationOrigin): void {
    if (origin !== "neighbour") this.#announceToLocalDaemons();
    this.#announceToOtherDataCentres();
  }

  close(): void {
    clearInterval(this.#timer);
    for (const unsubscribe of this.#unsubscribers) unsubscribe();
  }

  #handlePeerGeneration(from: PeerIdentity, generation: number): void {
    if (generation > this.#options.adopted.generation) this.#request(from.vmId);
  }

  #request(peer: VmId): void {
    const { clock, metrics } = this.#options;
    const nowMs = clock.nowMs();
    if (nowMs - this.#requestedAtMs < RESPONSE_TIMEOUT_MS) return;
    if (!this.#sendRequest(peer)) return;
    this.#requestedAtMs = nowMs;
    metrics.countEvent("configurationRequested");
  }

  /** The request also announces the generation in force in this daemon. */
  #sendRequest(peer: VmId): boolean {
    const { network, adopted } = this.#options;
    return network.send(peer, {
      type: "configurationRequest",
      knownGeneration: adopted.generation,
    });
  }

  #handleRequest(from: PeerIdentity, knownGeneration: number): void {
    const { network, adopted, metrics } = this.#options;
    const configuration = adopted.current();
    if (knownGeneration > adopted.generation) this.#request(from.vmId);
    if (configuration === undefined) return;
    if (knownGeneration >= configuration.generation) return;
    const deltas = adopted.deltasSince(knownGeneration);
    if (deltas === undefined) {
      metrics.countEvent("configurationHandedOver.whole");
      network.send(from.vmId, { type: "configuration", configuration });
    } else {
      metrics.countEvent("configurationHandedOver.delta");
      network.send(from.vmId, { type: "configurationDelta", deltas });
    }
  }

  #handleConfiguration(from: PeerIdentity, received: Configuration): void {
    if (this.#isStale(received.generation)) return;
    const { generation, register, rules } = received;
    const check = checkConfiguration({ register, rules });
    if (check.kind === "invalid") {
      this.#recordUnreadable(from, generation);
      return;
    }
    this.#adopt(from, { ...check.content, generation });
  }

  #handleDeltas(
    from: PeerIdentity,
    deltas: readonly ConfigurationDelta[],
  ): void {
    const generation = deltas.at(-1)?.generation ?? 0;
    const base = this.#options.adopted.current();
    if (base === undefined || this.#isStale(generation)) return;
    const result = applyDeltas(base, deltas);
    switch (result.kind) {
      case "applied":
        this.#adopt(from, result.configuration);
        return;
      case "unfitting":
        // Another response came first; the next heartbeat triggers a request.
        return;
      case "invalid":
        this.#recordUnreadable(from, generation);
        this.#requestFullConfiguration(from.vmId);
    }
  }

  #requestFullConfiguration(peer: VmId): void {
    const { network } = this.#options;
    network.send(peer, { type: "configurationRequest", knownGeneration: 0 });
  }

  #adopt(from: PeerIdentity, configuration: Configuration): void {
    const { network, adopted } = this.#options;
    const origin = from.dataCentre === network.self.dataCentre
      ? "neighbour"
      : "otherDataCentre";
    this.#requestedAtMs = Number.NEGATIVE_INFINITY;
    adopted.adopt(configuration, origin);
  }

  #isStale(generation: number): boolean {
    const { adopted, metrics } = this.#options;
    if (generation > adopted.generation) return false;
    metrics.countDrop("staleGeneration");
    return true;
  }

  #recordUnreadable(from: PeerIdentity, generation: number): void {
    const { metrics, logger } = this.#options;
    metrics.countEvent("configurationUnreadable");
    logger.warn("configurationUnreadable", { from: from.vmId, generation });
  }

  #announceToLocalDaemons(): void {
    const { dataCentre } = this.#options.network.self;
    for (const member of this.#listOtherMembers()) {
      if (member.dataCentre === dataCentre) this.#sendRequest(member.vmId);
    }
  }

  /** Prefers the daemons to which the peer network keeps connections anyway. */
  #announceToOtherDataCentres(): void {
    const { network } = this.#options;
    const byDataCentre = new Map<DataCentreName, VmId[]>();
    for (const { vmId, dataCentre } of this.#listOtherMembers()) {
      if (dataCentre === network.self.dataCentre) continue;
      byDataCentre.set(dataCentre, [
        ...byDataCentre.get(dataCentre) ?? [],
        vmId,
      ]);
    }
    for (const vmIds of byDataCentre.values()) {
      const ranked = rankByRendezvous(network.self.vmId, vmIds);
      for (const vmId of ranked.slice(0, ANNOUNCE_TARGETS_PER_DATA_CENTRE)) {
        this.#sendRequest(vmId);
      }
    }
  }

  #listOtherMembers(): Member[] {
    const { network, clock } = this.#options;
    return network.view(clock.nowMs()).members.filter((member) =>
      !member.isSelf && member.state !== "gone"
    );
  }
}
