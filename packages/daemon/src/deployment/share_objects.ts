/**
 * Gets objects from peers that know newer ones: the platform's store may turn
 * single VMs away, and a watch may have gone silent.
 *
 * @module
 */

import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { PeerNetwork } from "../peers/peer_network.js";
import type { ObjectMirror } from "./object_mirror.js";

export interface SharedObjectsOptions {
  readonly network: PeerNetwork & {
    setNewsVersions(versions: readonly number[]): void;
  };
  readonly mirrors: readonly ObjectMirror[];
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

const CHECK_INTERVAL_MS = 250;
/** The platform's own news gets this long to arrive first. */
const BEHIND_BEFORE_ASKING_MS = 250;

export class SharedObjects {
  readonly #options: SharedObjectsOptions;
  readonly #timer: NodeJS.Timeout;
  #behindSinceMs: number | undefined;

  constructor(options: SharedObjectsOptions) {
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
    if (mirror?.applyCopy(copy) !== true) return;
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
    const ahead = network.view(nowMs).members.filter((member) =>
      !member.isSelf && member.state === "live" &&
      this.#isAhead(member.newsVersions ?? [])
    );
    if (ahead.length === 0) {
      this.#behindSinceMs = undefined;
      return;
    }
    this.#behindSinceMs ??= nowMs;
    const isNew = mirrors.some((mirror) =>
      mirror.completeRevision === undefined
    );
    const patienceMs = isNew ? 0 : BEHIND_BEFORE_ASKING_MS;
    if (nowMs - this.#behindSinceMs < patienceMs) return;
    this.#behindSinceMs = nowMs;
    const chosen = ahead[Math.floor(Math.random() * ahead.length)];
    if (chosen === undefined) return;
    network.send(chosen.vmId, {
      type: "objectsRequest",
      known: mirrors.flatMap(({ prefix, completeRevision }) =>
        completeRevision === undefined
          ? []
          : [{ prefix, revision: completeRevision }]
      ),
    });
  }

  /**
   * Each kind is compared by itself: news of one kind doesn't make up for what
   * was missed of another.
   */
  #isAhead(newsVersions: readonly number[]): boolean {
    return this.#options.mirrors.some((mirror, at) =>
      (newsVersions[at] ?? 0) > (mirror.completeRevision ?? -1)
    );
  }
}
