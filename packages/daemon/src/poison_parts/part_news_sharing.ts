/**
 * Carries the news of prompt parts between VMs: in heartbeats, in batches to
 * other data centres of large fleets, and all at once to a VM that connects.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { PoisonPartNews } from "@sassafrasstage/protocol/poison_parts";
import type { Clock } from "../clock.js";
import type { TakePoisonPartNews } from "../peers/heartbeat_content.js";
import { isFullMesh } from "../peers/link_policy.js";
import type { PeerIdentity, PeerNetwork } from "../peers/peer_network.js";
import {
  findReachableMembers,
  groupByDataCentre,
} from "../peers/reachable_members.js";
import { rankByRendezvous } from "../peers/rendezvous.js";
import type { PartNewsOutbox } from "./part_news_outbox.js";

/** VMs of a data centre that tell a VM that connects what they know. */
const TELLERS_PER_DATA_CENTRE = 3;

/** Whom the news reach that this VM sends to one that connects. */
type Audience = "nobody" | "peer" | "dataCentre";

export interface ReceivedPartNews {
  readonly from: VmId;
  readonly news: PoisonPartNews;
  /** Whether this VM tells the other VMs of its data centre. */
  readonly relay: boolean;
}

export interface PartNewsSharingOptions {
  readonly network: PeerNetwork & {
    setPoisonPartNews(take: TakePoisonPartNews): void;
  };
  readonly outbox: PartNewsOutbox;
  readonly clock: Clock;
  /** Called before the news for a heartbeat are taken. */
  readonly onHeartbeat: (nowMs: number) => void;
  readonly onNews: (received: ReceivedPartNews) => void;
}

export class PartNewsSharing {
  readonly #options: PartNewsSharingOptions;

  constructor(options: PartNewsSharingOptions) {
    this.#options = options;
  }

  start(): void {
    const { network, clock, onHeartbeat, onNews } = this.#options;
    network.setPoisonPartNews((nowMs) => {
      onHeartbeat(nowMs);
      return this.#takeNews(nowMs);
    });
    network.messages.on("heartbeat", ({ from, message }) => {
      if (message.poisonParts === undefined) return;
      onNews({ from: from.vmId, news: message.poisonParts, relay: false });
    });
    network.messages.on("poisonParts", ({ from, message }) => {
      const { news, relay } = message;
      onNews({ from: from.vmId, news, relay });
    });
    network.lifecycle.on("connected", (peer) => {
      this.#tellAll(peer, clock.nowMs());
    });
  }

  #takeNews(nowMs: number): PoisonPartNews | undefined {
    const { all, own } = this.#options.outbox.take(nowMs);
    if (!isEmpty(own)) this.#tellOtherDataCentres(own, nowMs);
    return isEmpty(all) ? undefined : all;
  }

  /** In a large fleet, heartbeats don't tell the VMs of other data centres. */
  #tellOtherDataCentres(news: PoisonPartNews, nowMs: number): void {
    const { network } = this.#options;
    const members = findReachableMembers(network.view(nowMs));
    if (isFullMesh(members.length + 1)) return;
    for (const [dataCentre, vmIds] of groupByDataCentre(members)) {
      if (dataCentre === network.self.dataCentre) continue;
      // This VM keeps a connection to the first of the ranking.
      const [relay] = rankByRendezvous(network.self.vmId, vmIds);
      if (relay === undefined) continue;
      network.send(relay, { type: "poisonParts", news, relay: true });
    }
  }

  #tellAll(peer: PeerIdentity, nowMs: number): void {
    const { network, outbox } = this.#options;
    const news = outbox.describeAll(nowMs);
    if (isEmpty(news)) return;
    const audience = this.#findAudience(peer, nowMs);
    if (audience === "nobody") return;
    const relay = audience === "dataCentre";
    network.send(peer.vmId, { type: "poisonParts", news, relay });
  }

  /** In a large fleet, not all VMs tell a VM that connects the same. */
  #findAudience(peer: PeerIdentity, nowMs: number): Audience {
    const { network } = this.#options;
    const { vmId, dataCentre } = network.self;
    const members = findReachableMembers(network.view(nowMs));
    if (isFullMesh(members.length + 1)) return "peer";
    const vmIds = members
      .filter((member) => member.dataCentre === peer.dataCentre)
      .map((member) => member.vmId);
    if (peer.dataCentre !== dataCentre) {
      const [relay] = rankByRendezvous(vmId, vmIds);
      return relay === peer.vmId ? "dataCentre" : "nobody";
    }
    const others = vmIds.filter((other) => other !== peer.vmId);
    const tellers = rankByRendezvous(peer.vmId, [...others, vmId])
      .slice(0, TELLERS_PER_DATA_CENTRE);
    return tellers.includes(vmId) ? "peer" : "nobody";
  }
}

function isEmpty(news: PoisonPartNews): boolean {
  return news.crashes.length === 0 && news.successes.length === 0;
}
