/**
 * Gets objects from peers that have newer versions, because the platform's
 * store may reject calls of single VMs, and a watch may have stopped delivering
 * events.
 *
 * @module
 */

import type { KnownObjects } from "@sassafrasstage/protocol/peer_messages";
import {
  FIRST_STORE_ERA,
  type StoreEra,
} from "@sassafrasstage/protocol/platform_objects";
import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { Member, PeerNetwork } from "../peers/peer_network.js";
import type { ObjectMirror } from "./object_mirror.js";

export interface ObjectSharingOptions {
  readonly network: PeerNetwork & {
    setNewsVersions(
      versions: readonly number[],
      eras: readonly StoreEra[],
    ): void;
  };
  readonly mirrors: readonly ObjectMirror[];
  /** The configuration's mirror. */
  readonly configuration: ObjectMirror;
  /** Generation of the configuration in force. */
  readonly generation: () => number;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

const CHECK_INTERVAL_MS = 250;
/** Gives the platform's own watch events time to arrive first. */
const REQUEST_DELAY_MS = 250;

export class ObjectSharing {
  readonly #options: ObjectSharingOptions;
  readonly #timer: NodeJS.Timeout;
  #behindSinceMs: number | undefined;

  constructor(options: ObjectSharingOptions) {
    this.#options = options;
    const { network } = options;
    network.messages.on("objectsRequest", ({ from, message }) => {
      const known = new Map(
        message.known.map((objects) => [objects.prefix, objects]),
      );
      const copies = options.mirrors.flatMap((mirror) => {
        const copy = mirror.copy();
        if (copy === undefined) return [];
        return isNewer(copy, known.get(copy.prefix)) ? [copy] : [];
      });
      if (copies.length === 0) return;
      network.send(from.vmId, { type: "objects", copies });
    });
    network.messages.on("objects", ({ from, message }) => {
      for (const copy of message.copies) this.#apply(from.vmId, copy);
    });
    this.#timer = setInterval(() => {
      this.#check();
    }, CHECK_INTERVAL_MS);
  }

  close(): void {
    clearInterval(this.#timer);
  }

  #apply(from: string, copy: Parameters<ObjectMirror["applyCopy"]>[0]): void {
    const mirror = this.#options.mirrors
      .find((candidate) => candidate.prefix === copy.prefix);
    if (mirror === undefined) return;
    const known = { era: mirror.era, revision: mirror.completeRevision };
    if (!mirror.applyCopy(copy)) {
      this.#options.metrics.countEvent("objectsFromPeerIgnored");
      this.#options.logger.info("objectsFromPeerIgnored", {
        peer: from,
        objects: copy.prefix,
        era: copy.era,
        revision: copy.revision,
        knownEra: known.era,
        known: known.revision,
      });
      return;
    }
    this.#options.metrics.countEvent("objectsFromPeer");
    this.#options.logger.info("objectsFromPeer", {
      peer: from,
      objects: copy.prefix,
      era: copy.era,
      revision: copy.revision,
    });
  }

  #check(): void {
    const { network, clock, mirrors } = this.#options;
    const nowMs = clock.nowMs();
    network.setNewsVersions(
      mirrors.map((mirror) => mirror.newsVersion),
      mirrors.map((mirror) => mirror.era),
    );
    const peersAhead = network.view(nowMs).members.filter((member) =>
      !member.isSelf && member.state === "live" &&
      this.#isAhead(member)
    );
    if (peersAhead.length === 0) {
      this.#behindSinceMs = undefined;
      return;
    }
    this.#behindSinceMs ??= nowMs;
    const hasUnlistedMirror = mirrors.some((mirror) =>
      mirror.completeRevision === undefined
    );
    const delayMs = hasUnlistedMirror ? 0 : REQUEST_DELAY_MS;
    if (nowMs - this.#behindSinceMs < delayMs) return;
    this.#behindSinceMs = nowMs;
    const peer = peersAhead[Math.floor(Math.random() * peersAhead.length)];
    if (peer === undefined) return;
    network.send(peer.vmId, {
      type: "objectsRequest",
      known: mirrors.flatMap((mirror) => this.#toKnown(mirror, peer)),
    });
  }

  #toKnown(mirror: ObjectMirror, peer: Member): KnownObjects[] {
    const { prefix, completeRevision: revision, era } = mirror;
    if (revision === undefined) return [];
    // The peer sends what isn't named, whatever its revision.
    if (this.#lacksGenerationOf(peer, mirror)) return [];
    return [{ prefix, revision, ...(era !== FIRST_STORE_ERA && { era }) }];
  }

  /**
   * Compares each mirror separately: a newer version in one mirror says nothing
   * about changes that were missed in another.
   */
  #isAhead(member: Member): boolean {
    const { newsVersions = [], newsEras = [] } = member;
    return this.#options.mirrors.some((mirror, index) =>
      this.#lacksGenerationOf(member, mirror) ||
      isNewer(
        { era: newsEras[index], revision: newsVersions[index] ?? 0 },
        { era: mirror.era, revision: mirror.completeRevision ?? -1 },
      )
    );
  }

  /** A store that came back from an older copy may lack what is in force. */
  #lacksGenerationOf(member: Member, mirror: ObjectMirror): boolean {
    const { configuration, generation } = this.#options;
    return mirror === configuration && member.generation > generation();
  }
}

interface EraRevision {
  readonly era?: StoreEra | undefined;
  readonly revision: number;
}

function isNewer(a: EraRevision, b: EraRevision | undefined): boolean {
  if (b === undefined) return true;
  const { era = FIRST_STORE_ERA } = a;
  const { era: otherEra = FIRST_STORE_ERA } = b;
  return era === otherEra ? a.revision > b.revision : era > otherEra;
}
