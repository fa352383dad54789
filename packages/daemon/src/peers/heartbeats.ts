/**
 * Sends heartbeats, answers those of others, and closes connections on which
 * nothing is heard.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type {
  HeartbeatMessage,
  HeartbeatReplyMessage,
} from "@sassafrasstage/protocol/peer_messages";
import { encodeFrame } from "./frame_codec.js";
import type { HeartbeatContent } from "./heartbeat_content.js";
import { RARE_HEARTBEAT_INTERVALS, silenceLimitMs } from "./member_state.js";
import type { Membership } from "./membership.js";
import { PeerError } from "./peer_error.js";
import { IDLE_LINK_MS, type PeerLinks } from "./peer_links.js";
import type { PeerIdentity } from "./peer_network.js";
import type { PeerLink, PeerRecord } from "./peer_record.js";
import type { PeerRegistry } from "./peer_registry.js";

/** A quiet connection is closed after so many times the silence limit. */
const CLOSE_AFTER_LIMITS = 2;

export interface HeartbeatsOptions {
  readonly self: PeerIdentity;
  readonly registry: PeerRegistry;
  readonly links: PeerLinks;
  readonly membership: Membership;
  readonly heartbeatTimeoutMs: number;
}

/** A heartbeat and who sent it. */
export interface ReceivedHeartbeat {
  readonly peer: PeerRecord;
  readonly link: PeerLink;
  readonly message: HeartbeatMessage;
}

const NO_CONTENT: HeartbeatContent = {
  ownedPools: () => [],
  supportFor: () => [],
  onReply: () => undefined,
};

/** One instance sends to all peers, so that a beat is encoded once. */
export class Heartbeats {
  readonly #options: HeartbeatsOptions;
  readonly #sentAtMs = new Map<number, number>();
  content: HeartbeatContent = NO_CONTENT;
  sequence = 0;
  #wantsReply = false;

  constructor(options: HeartbeatsOptions) {
    this.#options = options;
  }

  /** Called once for each heartbeat interval. */
  beat(nowMs: number): void {
    this.sequence++;
    this.#sentAtMs.set(this.sequence, nowMs);
    this.#dropOldTimes(nowMs);
    const { registry, self } = this.#options;
    // After a pause only a reply shows that a peer lives now.
    this.#wantsReply = registry.all().some((peer) =>
      peer.link !== undefined && peer.heardAfterSequence !== undefined
    );
    const near = encodeFrame(this.#message(this.content.ownedPools(nowMs)));
    const far = encodeFrame(this.#message([]));
    for (const peer of registry.all()) {
      if (peer.link === undefined || !this.#isDue(peer)) continue;
      const isNear = peer.dataCentre === self.dataCentre;
      this.#options.links.sendFrame(peer.link, isNear ? near : far);
    }
  }

  /** Closes half-open connections, and idle ones made on demand. */
  closeQuiet(nowMs: number): void {
    const { registry, heartbeatTimeoutMs } = this.#options;
    for (const peer of registry.all()) {
      const link = peer.link;
      if (link === undefined) continue;
      const limitMs = silenceLimitMs(peer, heartbeatTimeoutMs);
      if (nowMs - link.lastFrameAtMs > CLOSE_AFTER_LIMITS * limitMs) {
        link.channel.destroy(new PeerError("silent", "Nothing was heard"));
      } else if (isIdle(peer, link, nowMs)) {
        link.channel.end();
      }
    }
  }

  /** Replies if the sender has a use for it. */
  answer(received: ReceivedHeartbeat, nowMs: number): void {
    const { peer, link, message } = received;
    const { ownedPools } = message;
    if (ownedPools.length === 0 && message.wantsReply !== true) return;
    const reply: HeartbeatReplyMessage = {
      type: "heartbeatReply",
      sequence: message.sequence,
      generation: this.#options.membership.ownGeneration,
      supportedPools: ownedPools.length === 0
        ? []
        : this.content.supportFor(peer.vmId, ownedPools, nowMs),
    };
    this.#options.links.sendFrame(link, encodeFrame(reply));
  }

  takeReply(from: VmId, reply: HeartbeatReplyMessage): void {
    const sentAtMs = this.#sentAtMs.get(reply.sequence);
    if (sentAtMs === undefined) return;
    this.content.onReply(from, sentAtMs, reply.supportedPools);
  }

  #message(ownedPools: HeartbeatMessage["ownedPools"]): HeartbeatMessage {
    const { membership } = this.#options;
    return {
      type: "heartbeat",
      sequence: this.sequence,
      generation: membership.ownGeneration,
      leaving: membership.isLeaving,
      ownedPools,
      ...(this.#wantsReply && { wantsReply: true }),
      ...(membership.ownNewsVersions.length > 0 &&
        { newsVersions: membership.ownNewsVersions }),
    };
  }

  #isDue(peer: PeerRecord): boolean {
    return peer.linkNeed === "standing" ||
      this.sequence % RARE_HEARTBEAT_INTERVALS === 0;
  }

  #dropOldTimes(nowMs: number): void {
    const keptMs = CLOSE_AFTER_LIMITS * RARE_HEARTBEAT_INTERVALS *
      this.#options.heartbeatTimeoutMs;
    for (const [sequence, sentAtMs] of this.#sentAtMs) {
      if (nowMs - sentAtMs <= keptMs) return;
      this.#sentAtMs.delete(sequence);
    }
  }
}

function isIdle(peer: PeerRecord, link: PeerLink, nowMs: number): boolean {
  return peer.linkNeed === "onDemand" &&
    nowMs - link.lastUsedAtMs > IDLE_LINK_MS;
}
