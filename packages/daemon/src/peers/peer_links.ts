/**
 * The connections in use: at most one for each peer.
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
import { prefersNewLink } from "./link_choice.js";
import { isPresumedLive } from "./member_state.js";
import { isPeerMessage } from "./message_check.js";
import { PeerError } from "./peer_error.js";
import type { PeerIdentity } from "./peer_network.js";
import type { PeerLink, PeerRecord } from "./peer_record.js";
import type { PeerRegistry } from "./peer_registry.js";

/** Frames that may wait for a connection made on demand. */
const MAX_PENDING_FRAMES = 256;
/** A replaced connection is read to its end, but no longer than this. */
const LINGER_MS = 1000;
/** On-demand connections without messages for so long are closed. */
export const IDLE_LINK_MS = 30_000;

export interface PeerLinksOptions {
  readonly registry: PeerRegistry;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** A connection on which no frame came for so long yields to a new one. */
  readonly quietMs: number;
  readonly onConnected: (peer: PeerIdentity) => void;
  readonly onDisconnected: (peer: PeerIdentity) => void;
  readonly onMessage: (received: ReceivedFrame) => void;
}

export interface ReceivedFrame {
  readonly peer: PeerRecord;
  readonly link: PeerLink;
  readonly message: PeerMessage;
}

/** Takes proved connections into use, reads them, and sends on them. */
export class PeerLinks {
  readonly #options: PeerLinksOptions;
  readonly #open = new Set<PeerLink>();
  #sentBytes = 0;
  #sentMessages = 0;

  constructor(options: PeerLinksOptions) {
    this.#options = options;
  }

  /** Uses the connection until it ends; throws what ended it. */
  async serve(link: PeerLink): Promise<void> {
    const peer = this.#options.registry.ensure(link.identity);
    this.#adopt(peer, link);
    this.#open.add(link);
    try {
      await this.#readMessages(peer, link);
    } finally {
      this.#open.delete(link);
      link.channel.destroy(
        new PeerError("connectionClosed", "The connection ended"),
      );
      this.#release(peer, link);
    }
  }

  /**
   * False when nothing was sent. Frames to a peer that is reached on demand
   * wait for the connection, which this starts; they are lost if it fails.
   */
  send(to: VmId, message: PeerMessage): boolean {
    const peer = this.#options.registry.get(to);
    if (peer === undefined) return false;
    if (peer.link !== undefined) {
      peer.link.lastUsedAtMs = this.#options.clock.nowMs();
      return this.sendFrame(peer.link, encodeFrame(message));
    }
    return this.#sendOnDemand(peer, message);
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

  /** Adds what was sent since the last call to the counters. */
  flushCounts(): void {
    const { metrics } = this.#options;
    metrics.countEvent("peerBytesSent", this.#sentBytes);
    metrics.countEvent("peerMessagesSent", this.#sentMessages);
    this.#sentBytes = 0;
    this.#sentMessages = 0;
  }

  closeAll(): void {
    const reason = new PeerError("connectionClosed", "The network closed");
    for (const link of this.#open) link.channel.destroy(reason);
  }

  #sendOnDemand(peer: PeerRecord, message: PeerMessage): boolean {
    if (!isPresumedLive(peer) || peer.address === undefined) return false;
    if (peer.pendingFrames.length >= MAX_PENDING_FRAMES) return false;
    peer.pendingFrames.push(encodeFrame(message));
    peer.notifyTask();
    return true;
  }

  #adopt(peer: PeerRecord, link: PeerLink): void {
    const { incarnation } = link.identity;
    if (peer.isRetired(incarnation)) {
      throw new PeerError("replacedIncarnation", "A newer life is connected");
    }
    const existing = peer.link;
    if (
      existing !== undefined && existing.identity.incarnation === incarnation
    ) {
      this.#chooseBetween(peer, { existing, link });
    } else {
      this.#startWith(peer, link);
    }
    peer.generation = Math.max(peer.generation, link.helloGeneration);
    peer.markHeard(this.#options.clock.nowMs());
  }

  #chooseBetween(
    peer: PeerRecord,
    links: { readonly existing: PeerLink; readonly link: PeerLink },
  ): void {
    const { existing, link } = links;
    const nowMs = this.#options.clock.nowMs();
    const { quietMs } = this.#options;
    const isReplaced = prefersNewLink(existing, link, { nowMs, quietMs });
    if (isReplaced) peer.link = link;
    closeAfterReading(isReplaced ? existing : link);
  }

  #startWith(peer: PeerRecord, link: PeerLink): void {
    const { identity } = link;
    const former = peer.lastIdentity;
    if (former !== undefined && former.incarnation !== identity.incarnation) {
      peer.retire(former.incarnation);
      peer.saidLeaving = false;
      peer.generation = 0;
      peer.newsVersions = [];
      peer.heardAfterSequence = undefined;
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
    for (const frame of peer.pendingFrames) this.sendFrame(link, frame);
    peer.pendingFrames = [];
    peer.notifyTask();
  }

  async #readMessages(peer: PeerRecord, link: PeerLink): Promise<void> {
    for (;;) {
      const message = await link.channel.receive();
      if (message === undefined) return;
      if (peer.isRetired(link.identity.incarnation)) return;
      if (!isPeerMessage(message)) {
        throw new PeerError("badFrame", "The frame is no known message");
      }
      this.#options.onMessage({ peer, link, message });
    }
  }

  #release(peer: PeerRecord, link: PeerLink): void {
    if (peer.link !== link) return;
    peer.link = undefined;
    const unusedMs = this.#options.clock.nowMs() - link.lastUsedAtMs;
    const isIdleClose = peer.linkNeed === "onDemand" &&
      unusedMs > IDLE_LINK_MS / 2;
    peer.isSuspect = !isIdleClose;
    this.#options.onDisconnected(link.identity);
    peer.notifyTask();
  }
}

function closeAfterReading(link: PeerLink): void {
  link.channel.end();
  setTimeout(() => {
    link.channel.destroy(
      new PeerError("connectionClosed", "Another connection is in use"),
    );
  }, LINGER_MS).unref();
}
