/**
 * Updates the peer's record and the membership from each received message.
 *
 * @module
 */

import type {
  HeartbeatMessage,
  PeerMessage,
} from "@sassafrasstage/protocol/peer_messages";
import { toStatedIntervals } from "./heartbeat_plan.js";
import type { Heartbeats } from "./heartbeats.js";
import { silenceLimitMs } from "./member_state.js";
import { isSameList } from "./is_same_list.js";
import type { Membership } from "./membership.js";
import type { ReceivedFrame } from "./peer_links.js";
import type { PeerRecord } from "./peer_record.js";

export interface MessageHandlerOptions {
  readonly heartbeats: Heartbeats;
  readonly membership: Membership;
  readonly heartbeatIntervalMs: number;
  readonly heartbeatTimeoutMs: number;
  readonly onStateMayHaveChanged: () => void;
}

/** Updates the sender's record for each message, and replies to heartbeats. */
export class MessageHandler {
  readonly #options: MessageHandlerOptions;

  constructor(options: MessageHandlerOptions) {
    this.#options = options;
  }

  handle(received: ReceivedFrame, nowMs: number): void {
    const { peer, link, message } = received;
    const { heartbeats } = this.#options;
    link.lastFrameAtMs = nowMs;
    this.#recordHeard(peer, message, nowMs);
    switch (message.type) {
      case "heartbeat":
        peer.statedIntervals = toStatedIntervals(
          message.intervalMs,
          this.#options.heartbeatIntervalMs,
        );
        this.#recordGeneration(peer, message.generation);
        this.#recordNews(peer, message);
        this.#recordAbilities(peer, message);
        if (message.leaving) this.#recordLeaving(peer);
        heartbeats.replyTo({ peer, link, message }, nowMs);
        break;
      case "heartbeatReply":
        this.#recordGeneration(peer, message.generation);
        heartbeats.handleReply(peer.vmId, message);
        break;
      case "leaving":
        this.#recordLeaving(peer);
        break;
      default:
        link.lastUsedAtMs = nowMs;
    }
  }

  #recordHeard(peer: PeerRecord, message: PeerMessage, nowMs: number): void {
    const { heartbeatTimeoutMs, onStateMayHaveChanged } = this.#options;
    const wasOverdue = nowMs - peer.lastHeardAtMs >
      silenceLimitMs(peer, heartbeatTimeoutMs);
    const requiredAfterSequence = peer.replyRequiredAfterSequence;
    if (requiredAfterSequence !== undefined) {
      if (message.type !== "heartbeatReply") return;
      if (message.sequence <= requiredAfterSequence) return;
      peer.replyRequiredAfterSequence = undefined;
    }
    peer.recordHeard(nowMs);
    if (wasOverdue) onStateMayHaveChanged();
  }

  #recordGeneration(peer: PeerRecord, generation: number): void {
    if (generation <= peer.generation) return;
    peer.generation = generation;
    this.#options.membership.invalidate();
  }

  #recordNews(peer: PeerRecord, message: HeartbeatMessage): void {
    const { newsVersions = [], newsEras = [] } = message;
    if (
      isSameList(newsVersions, peer.newsVersions) &&
      isSameList(newsEras, peer.newsEras)
    ) {
      return;
    }
    peer.newsVersions = newsVersions;
    peer.newsEras = newsEras;
    this.#options.membership.invalidate();
  }

  #recordAbilities(peer: PeerRecord, message: HeartbeatMessage): void {
    const {
      relaysCalls = false,
      takesObjectChanges = false,
      knowsRollouts = false,
      cutOffServices = [],
    } = message;
    if (
      relaysCalls === peer.relaysCalls &&
      takesObjectChanges === peer.takesObjectChanges &&
      knowsRollouts === peer.knowsRollouts &&
      isSameList(cutOffServices, peer.cutOffServices)
    ) return;
    peer.relaysCalls = relaysCalls;
    peer.takesObjectChanges = takesObjectChanges;
    peer.knowsRollouts = knowsRollouts;
    peer.cutOffServices = cutOffServices;
    this.#options.membership.invalidate();
  }

  #recordLeaving(peer: PeerRecord): void {
    if (peer.announcedLeaving) return;
    peer.announcedLeaving = true;
    this.#options.onStateMayHaveChanged();
  }
}
