/**
 * Gets objects from peers that have newer versions, because the platform's
 * store may reject calls of single VMs, and a watch may have stopped delivering
 * events.
 *
 * @module
 */

import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { PeerNetwork } from "../peers/peer_network.js";
import type { ObjectMirror } from "./object_mirror.js";

export interface ObjectSharingOptions {
  readonly network: PeerNetwork & {
    setNewsVersions(versions: readonly number[]): void;
  };
  readonly mirrors: readonly ObjectMirror[];
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
        message.known.map(({ prefix, revision }) => [prefix, revision]),
      );
      const copies = options.mirrors.flatMap((mirror) => {
        const copy = mirror.copy();
        if (copy === undefined) return [];
        return copy.revision > (known.get(copy.prefix) ?? -1) ? [copy] : [];
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
    const known = mirror.completeRevision;
    if (!mirror.applyCopy(copy)) {
      this.#options.metrics.countEvent("objectsFromPeerIgnored");
      this.#options.logger.info("objectsFromPeerIgnored", {
        peer: from,
        objects: copy.prefix,
        revision: copy.revision,
        known,
      });
      return;
    }
    this.#options.metrics.countEvent("objectsFromPeer");
    this.#options.logger.info("objectsFromPeer", {
      peer: from,
      objects: copy.prefix,
      revision: copy.revision,
    });
  }

  #check(): void {
    const { network, clock, mirrors } = this.#options;
    const nowMs = clock.nowMs();
    network.setNewsVersions(mirrors.map((mirror) => mirror.newsVersion));
    const peersAhead = network.view(nowMs).members.filter((member) =>
      !member.isSelf && member.state === "live" &&
      this.#isAhead(member.newsVersions ?? [])
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
      known: mirrors.flatMap(({ prefix, completeRevision }) =>
        completeRevision === undefined
          ? []
          : [{ prefix, revision: completeRevision }]
      ),
    });
  }

  /**
   * Compares each mirror separately: a newer version in one mirror says nothing
   * about changes that were missed in another.
   */
  #isAhead(newsVersions: readonly number[]): boolean {
    return this.#options.mirrors.some((mirror, index) =>
      (newsVersions[index] ?? 0) > (mirror.completeRevision ?? -1)
    );
  }
}
