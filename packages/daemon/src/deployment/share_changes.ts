/**
 * Sends the changes that this VM learns of as a watcher of the platform's store
 * to the other VMs of its data centre, and applies those of its own watchers.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { ObjectChangesMessage } from "@sassafrasstage/protocol/peer_messages";
import { FIRST_STORE_ERA } from "@sassafrasstage/protocol/platform_objects";
import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type {
  PeerNetwork,
  ReceivedPeerMessage,
} from "../peers/peer_network.js";
import type { ObjectMirror } from "./object_mirror.js";
import type { StoreWatchers } from "./store_watchers.js";

export interface ChangeSharingOptions {
  readonly network: PeerNetwork;
  readonly mirrors: readonly ObjectMirror[];
  readonly watchers: StoreWatchers;
  /** When the platform's last outage ended, as seen from this VM. */
  readonly recoveredAtMs: () => number;
  /** A watcher has told when an outage ended that it has seen. */
  readonly onRecovered: (recoveredAtMs: number) => void;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** An outage that ended earlier has no effect any more. */
const MAX_RECOVERED_AGE_MS = 10_000;
/** A peer sends no copy of objects that are known up to this revision. */
const NOT_REQUESTED = Number.MAX_SAFE_INTEGER;

export class ChangeSharing {
  readonly #options: ChangeSharingOptions;
  /** Set while changes of another VM are applied, which it has sent to all. */
  #isApplying = false;

  constructor(options: ChangeSharingOptions) {
    this.#options = options;
    const { network, mirrors } = options;
    for (const mirror of mirrors) {
      mirror.onChanges((changes) => {
        if (!this.#isApplying) {
          this.#publish({ type: "objectChanges", changes });
        }
      });
    }
    network.messages.on("objectChanges", (received) => {
      this.#apply(received);
    });
  }

  #publish(message: ObjectChangesMessage): void {
    const { network, watchers, clock, recoveredAtMs } = this.#options;
    if (watchers.role !== "watcher") return;
    const nowMs = clock.nowMs();
    const recoveredAgeMs = Math.max(0, nowMs - recoveredAtMs());
    const withAge = recoveredAgeMs > MAX_RECOVERED_AGE_MS
      ? message
      : { ...message, recoveredAgeMs };
    network.sendToAll(watchers.followers(nowMs), withAge);
  }

  #apply({ from, message }: ReceivedPeerMessage<ObjectChangesMessage>): void {
    const { mirrors, clock, metrics, onRecovered } = this.#options;
    const { changes, recoveredAgeMs } = message;
    const mirror = mirrors.find(({ prefix }) => prefix === changes.prefix);
    if (mirror === undefined) return;
    if (recoveredAgeMs !== undefined) {
      onRecovered(clock.nowMs() - recoveredAgeMs);
    }
    const known = mirror.completeRevision ?? -1;
    const isKnown = mirror.era === (changes.era ?? FIRST_STORE_ERA) &&
      known >= changes.revision;
    if (isKnown) return;
    this.#isApplying = true;
    const isApplied = mirror.applyChanges(changes);
    this.#isApplying = false;
    metrics.countEvent(isApplied ? "changesFromPeer" : "changesFromPeerMissed");
    if (!isApplied) this.#requestCopy(from.vmId, mirror);
  }

  /** Asks for one kind of objects only, as earlier changes are missing. */
  #requestCopy(from: VmId, mirror: ObjectMirror): void {
    const { network, mirrors, logger } = this.#options;
    const { prefix, completeRevision } = mirror;
    logger.info("objectsRequested", {
      peer: from,
      objects: prefix,
      known: completeRevision,
    });
    network.send(from, {
      type: "objectsRequest",
      known: mirrors.flatMap((other) => {
        const revision = other === mirror ? completeRevision : NOT_REQUESTED;
        if (revision === undefined) return [];
        const { era } = other;
        return [{
          prefix: other.prefix,
          revision,
          ...(era !== FIRST_STORE_ERA && { era }),
        }];
      }),
    });
  }
}
