/**
 * Spreads the configuration in force between daemons. A daemon tells others
 * its generation; whoever has a lower one asks, and gets what changed since its
 * own, or the whole where that isn't known.
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

/** Time that an asked peer has for its answer before another is asked. */
const ANSWER_TIME_MS = 250;
/** How often daemons of other data centres are told the generation. */
const TELL_INTERVAL_MS = 1000;
const TOLD_PER_DATA_CENTRE = 2;

export interface ConfigurationSharingOptions {
  readonly network: PeerNetwork;
  readonly adopted: AdoptedConfiguration;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Answers, asks and tells until it is closed. */
export class ConfigurationSharing {
  readonly #options: ConfigurationSharingOptions;
  readonly #stopListening: readonly (() => void)[];
  readonly #timer: NodeJS.Timeout;
  #askedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: ConfigurationSharingOptions) {
    const { network } = options;
    const { messages, life } = network;
    this.#options = options;
    this.#stopListening = [
      life.on("connected", (received) => {
        this.#tell(received.vmId);
      }),
      messages.on("heartbeat", (received) => {
        this.#hear(received.from, received.message.generation);
      }),
      messages.on("heartbeatReply", (received) => {
        this.#hear(received.from, received.message.generation);
      }),
      messages.on("configurationRequest", (received) => {
        this.#answer(received.from, received.message.knownGeneration);
      }),
      messages.on("configuration", (received) => {
        this.#receiveWhole(received.from, received.message.configuration);
      }),
      messages.on("configurationDelta", (received) => {
        this.#receiveDeltas(received.from, received.message.deltas);
      }),
    ];
    this.#timer = setInterval(() => {
      this.#tellOtherDataCentres();
    }, TELL_INTERVAL_MS);
  }

  /**
   * Tells the others of a new generation. What came from a neighbour has been
   * told to the other neighbours by the daemon that had it first.
   */
  announce(origin: ConfigurationOrigin): void {
    if (origin !== "neighbour") this.#tellNeighbours();
    this.#tellOtherDataCentres();
  }

  close(): void {
    clearInterval(this.#timer);
    for (const stop of this.#stopListening) stop();
  }

  #hear(from: PeerIdentity, generation: number): void {
    if (generation > this.#options.adopted.generation) this.#ask(from.vmId);
  }

  #ask(peer: VmId): void {
    const { clock, metrics } = this.#options;
    const nowMs = clock.nowMs();
    if (nowMs - this.#askedAtMs < ANSWER_TIME_MS) return;
    if (!this.#tell(peer)) return;
    this.#askedAtMs = nowMs;
    metrics.countEvent("configurationRequested");
  }

  /** The request says which generation is in force here. */
  #tell(peer: VmId): boolean {
    const { network, adopted } = this.#options;
    return network.send(peer, {
      type: "configurationRequest",
      knownGeneration: adopted.generation,
    });
  }

  #answer(from: PeerIdentity, knownGeneration: number): void {
    const { network, adopted, metrics } = this.#options;
    const configuration = adopted.current();
    if (knownGeneration > adopted.generation) this.#ask(from.vmId);
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

  #receiveWhole(from: PeerIdentity, received: Configuration): void {
    if (this.#isStale(received.generation)) return;
    const { generation, register, rules } = received;
    const check = checkConfiguration({ register, rules });
    if (check.kind === "invalid") {
      this.#noteUnreadable(from, generation);
      return;
    }
    this.#adopt(from, { ...check.content, generation });
  }

  #receiveDeltas(
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
        // Another answer came first; the next heartbeat asks again.
        return;
      case "invalid":
        this.#noteUnreadable(from, generation);
        this.#askForWhole(from.vmId);
    }
  }

  #askForWhole(peer: VmId): void {
    const { network } = this.#options;
    network.send(peer, { type: "configurationRequest", knownGeneration: 0 });
  }

  #adopt(from: PeerIdentity, configuration: Configuration): void {
    const { network, adopted } = this.#options;
    const origin = from.dataCentre === network.self.dataCentre
      ? "neighbour"
      : "otherDataCentre";
    this.#askedAtMs = Number.NEGATIVE_INFINITY;
    adopted.adopt(configuration, origin);
  }

  #isStale(generation: number): boolean {
    const { adopted, metrics } = this.#options;
    if (generation > adopted.generation) return false;
    metrics.countDrop("staleGeneration");
    return true;
  }

  #noteUnreadable(from: PeerIdentity, generation: number): void {
    const { metrics, logger } = this.#options;
    metrics.countEvent("configurationUnreadable");
    logger.warn("configurationUnreadable", { from: from.vmId, generation });
  }

  #tellNeighbours(): void {
    const { dataCentre } = this.#options.network.self;
    for (const member of this.#members()) {
      if (member.dataCentre === dataCentre) this.#tell(member.vmId);
    }
  }

  /** Tells those first to whom the peer network keeps connections anyway. */
  #tellOtherDataCentres(): void {
    const { network } = this.#options;
    const byDataCentre = new Map<DataCentreName, VmId[]>();
    for (const { vmId, dataCentre } of this.#members()) {
      if (dataCentre === network.self.dataCentre) continue;
      byDataCentre.set(dataCentre, [
        ...byDataCentre.get(dataCentre) ?? [],
        vmId,
      ]);
    }
    for (const vmIds of byDataCentre.values()) {
      const ranked = rankByRendezvous(network.self.vmId, vmIds);
      for (const vmId of ranked.slice(0, TOLD_PER_DATA_CENTRE)) {
        this.#tell(vmId);
      }
    }
  }

  #members(): Member[] {
    const { network, clock } = this.#options;
    return network.view(clock.nowMs()).members.filter((member) =>
      !member.isSelf && member.state !== "gone"
    );
  }
}
