/**
 * What the network itself learns from each message.
 *
 * @module
 */

import type { PeerMessage } from "@sassafrasstage/protocol/peer_messages";
import type { Heartbeats } from "./heartbeats.js";
import type { Membership } from "./membership.js";
import type { ReceivedFrame } from "./peer_links.js";
import type { PeerRecord } from "./peer_record.js";

export interface MessageIntakeOptions {
  readonly heartbeats: Heartbeats;
  readonly membership: Membership;
  readonly heartbeatTimeoutMs: number;
  /** Called when a member's state may have changed. */
  readonly onNews: () => void;
}

/** Notes who was heard, and answers heartbeats. */
export class MessageIntake {
  readonly #options: MessageIntakeOptions;

  constructor(options: MessageIntakeOptions) {
    this.#options = options;
  }

  take(received: ReceivedFrame, nowMs: number): void {
    const { peer, link, message } = received;
    const { heartbeats } = this.#options;
    link.lastFrameAtMs = nowMs;
    this.#noteHeard(peer, message, nowMs);
    switch (message.type) {
      case "heartbeat":
        this.#noteGeneration(peer, message.generation);
        this.#noteNewsVersions(peer, message.newsVersions ?? []);
        if (message.leaving) this.#noteLeaving(peer);
        heartbeats.answer({ peer, link, message }, nowMs);
        break;
      case "heartbeatReply":
        this.#noteGeneration(peer, message.generation);
        heartbeats.takeReply(peer.vmId, message);
        break;
      case "leaving":
        this.#noteLeaving(peer);
        break;
      default:
        link.lastUsedAtMs = nowMs;
    }
  }

  #noteHeard(peer: PeerRecord, message: PeerMessage, nowMs: number): void {
    const { heartbeatTimeoutMs, onNews } = this.#options;
    const isNews = nowMs - peer.lastHeardAtMs > heartbeatTimeoutMs;
    const after = peer.heardAfterSequence;
    if (after !== undefined) {
      if (message.type !== "heartbeatReply") return;
      if (message.sequence <= after) return;
      peer.heardAfterSequence = undefined;
    }
    peer.markHeard(nowMs);
    if (isNews) onNews();
  }

  #noteGeneration(peer: PeerRecord, generation: number): void {
    if (generation <= peer.generation) return;
    peer.generation = generation;
    this.#options.membership.invalidate();
  }

  #noteNewsVersions(peer: PeerRecord, versions: readonly number[]): void {
    if (versions.every((version, at) => version === peer.newsVersions[at])) {
      return;
    }
    peer.newsVersions = versions;
    this.#options.membership.invalidate();
  }

  #noteLeaving(peer: PeerRecord): void {
    if (peer.saidLeaving) return;
    peer.saidLeaving = true;
    this.#options.onNews();
  }
}
