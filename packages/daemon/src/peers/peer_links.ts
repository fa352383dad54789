/**
 * The authenticated connections to peers. At most one per peer is in use.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import {
  MAX_FRAME_BYTES,
  type PeerMessage,
} from "@sassafrasstage/protocol/peer_messages";
import type { Clock } from "../clock.js";
import type { Metrics } from "../observability/metrics.js";
import { encodeFrame } from "./frame_codec.js";
import { prefersNewLink } from "./link_policy.js";
import { isPresumedLive } from "./member_state.js";
import { isPeerMessage } from "./message_check.js";
import { PeerError } from "./peer_error.js";
import type { PeerIdentity } from "./peer_network.js";
import type { PeerLink, PeerRecord, PendingFrame } from "./peer_record.js";
import type { PeerRegistry } from "./peer_registry.js";

/** Limit of frames queued per peer while an on-demand connection is made. */
const MAX_PENDING_FRAMES = 256;
/** Maximum time for which a replaced connection is still read. */
const MAX_DRAIN_MS = 1000;
/** Idle time after which an on-demand connection is closed. */
export const IDLE_LINK_MS = 30_000;

export interface PeerLinksOptions {
  readonly registry: PeerRegistry;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /**
   * Time without a received frame after which a new connection replaces an
   * existing one.
   */
  readonly staleMs: number;
  readonly onConnected: (peer: PeerIdentity) => void;
  readonly onDisconnected: (peer: PeerIdentity) => void;
  readonly onMessage: (received: ReceivedFrame) => void;
}

export interface ReceivedFrame {
  readonly peer: PeerRecord;
  readonly link: PeerLink;
  readonly message: PeerMessage;
}

/** Holds the authenticated connections, reads from them and sends on them. */
export class PeerLinks {
  readonly #options: PeerLinksOptions;
  readonly #openLinks = new Set<PeerLink>();
  #sentBytes = 0;
  #sentMessages = 0;

  constructor(options: PeerLinksOptions) {
    this.#options = options;
  }

  /** Reads the connection until it ends; throws if an error ended it. */
  async serve(link: PeerLink): Promise<void> {
    const peer = this.#options.registry.getOrAdd(link.identity);
    this.#addLink(peer, link);
    this.#openLinks.add(link);
    try {
      await this.#readMessages(peer, link);
    } finally {
      this.#openLinks.delete(link);
      link.channel.destroy(
        new PeerError("connectionClosed", "The connection ended"),
      );
      this.#removeLink(peer, link);
    }
  }

  /**
   * Sends a message; returns false if it was neither sent nor queued. If the
   * peer is connected on demand, this requests the connection and queues the
   * frame. Queued frames are dropped if the connection can't be made.
   */
  send(to: VmId, message: PeerMessage, onDropped?: () => void): boolean {
    return this.#sendEncoded(to, encodeFrame(message), onDropped);
  }

  /** Encodes the message once for all receivers. */
  sendToAll(to: readonly VmId[], message: PeerMessage): void {
    if (to.length === 0) return;
    const frame = encodeFrame(message);
    for (const vmId of to) this.#sendEncoded(vmId, frame);
  }

  #sendEncoded(to: VmId, frame: Buffer, onDropped?: () => void): boolean {
    const peer = this.#options.registry.get(to);
    if (peer === undefined) return false;
    if (peer.link !== undefined) {
      peer.link.lastUsedAtMs = this.#options.clock.nowMs();
      return this.sendFrame(peer.link, frame);
    }
    return this.#sendOnDemand(peer, { frame, onDropped });
  }

  sendFrame(link: PeerLink, frame: Buffer): boolean {
    if (frame.length > MAX_FRAME_BYTES) {
      this.#options.metrics.countEvent("peerMessageTooLarge");
      return false;
    }
    this.#sentBytes += frame.length;
    this.#sentMessages++;
    return link.channel.send(frame);
  }

  /** Adds the bytes and messages sent since the last call to the metrics. */
  flushCounts(): void {
    const { metrics } = this.#options;
    metrics.countEvent("peerBytesSent", this.#sentBytes);
    metrics.countEvent("peerMessagesSent", this.#sentMessages);
    this.#sentBytes = 0;
    this.#sentMessages = 0;
  }

  closeAll(): void {
    const reason = new PeerError(
      "connectionClosed",
      "The peer network is closing",
    );
    for (const link of this.#openLinks) link.channel.destroy(reason);
  }

  #sendOnDemand(peer: PeerRecord, pending: PendingFrame): boolean {
    if (!isPresumedLive(peer) || peer.address === undefined) return false;
    if (peer.pendingFrames.length >= MAX_PENDING_FRAMES) return false;
    peer.pendingFrames.push(pending);
    peer.notifyTask();
    return true;
  }

  #addLink(peer: PeerRecord, link: PeerLink): void {
    const { incarnation } = link.identity;
    if (peer.isRetired(incarnation)) {
      throw new PeerError(
        "replacedIncarnation",
        "The peer has a newer incarnation",
      );
    }
    const existing = peer.link;
    if (
      existing !== undefined && existing.identity.incarnation === incarnation
    ) {
      this.#resolveDuplicateLink(peer, { existing, link });
    } else {
      this.#startIncarnation(peer, link);
    }
    peer.generation = Math.max(peer.generation, link.helloGeneration);
    peer.recordHeard(this.#options.clock.nowMs());
  }

  #resolveDuplicateLink(
    peer: PeerRecord,
    links: { readonly existing: PeerLink; readonly link: PeerLink },
  ): void {
    const { existing, link } = links;
    const nowMs = this.#options.clock.nowMs();
    const { staleMs } = this.#options;
    const isReplaced = prefersNewLink(existing, link, { nowMs, staleMs });
    if (isReplaced) peer.link = link;
    drainAndClose(isReplaced ? existing : link);
  }

  #startIncarnation(peer: PeerRecord, link: PeerLink): void {
    const { identity } = link;
    const previousIdentity = peer.lastIdentity;
    if (
      previousIdentity !== undefined &&
      previousIdentity.incarnation !== identity.incarnation
    ) {
      peer.retire(previousIdentity.incarnation);
      peer.announcedLeaving = false;
      peer.generation = 0;
      peer.newsVersions = [];
      peer.newsEras = [];
      peer.relaysCalls = false;
      peer.takesObjectChanges = false;
      peer.knowsRollouts = undefined;
      peer.statedIntervals = undefined;
      peer.cutOffServices = [];
      peer.replyRequiredAfterSequence = undefined;
    }
    if (peer.link !== undefined) {
      const reason = new PeerError(
        "replacedIncarnation",
        "The peer's process was restarted",
      );
      peer.link.channel.destroy(reason);
      this.#options.onDisconnected(peer.link.identity);
    }
    peer.lastIdentity = identity;
    peer.dataCentre = identity.dataCentre;
    peer.link = link;
    this.#options.onConnected(identity);
    for (const { frame } of peer.pendingFrames) this.sendFrame(link, frame);
    peer.pendingFrames = [];
    peer.notifyTask();
  }

  async #readMessages(peer: PeerRecord, link: PeerLink): Promise<void> {
    for (;;) {
      const message = await link.channel.receive();
      if (message === undefined) return;
      if (peer.isRetired(link.identity.incarnation)) return;
      if (!isPeerMessage(message)) {
        throw new PeerError(
          "badFrame",
          "The frame is not a valid peer message",
        );
      }
      this.#options.onMessage({ peer, link, message });
    }
  }

  #removeLink(peer: PeerRecord, link: PeerLink): void {
    if (peer.link !== link) return;
    peer.link = undefined;
    const unusedMs = this.#options.clock.nowMs() - link.lastUsedAtMs;
    const isIdleClose = peer.linkPolicy === "onDemand" &&
      unusedMs > IDLE_LINK_MS / 2;
    peer.isSuspect = !isIdleClose;
    this.#options.onDisconnected(link.identity);
    peer.notifyTask();
  }
}

function drainAndClose(link: PeerLink): void {
  link.channel.end();
  setTimeout(() => {
    link.channel.destroy(
      new PeerError("connectionClosed", "Replaced by another connection"),
    );
  }, MAX_DRAIN_MS).unref();
}
