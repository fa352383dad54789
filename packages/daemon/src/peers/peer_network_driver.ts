/**
 * Joins listener, peer tasks, heartbeats and membership.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type {
  PeerMessage,
  PeerMessageType,
} from "@sassafrasstage/protocol/peer_messages";
import type { VmListing } from "@sassafrasstage/protocol/platform_objects";
import Emittery from "emittery";
import { setMaxListeners } from "node:events";
import type { Address } from "../settings/settings.js";
import { PeerAcceptor } from "./accept_peers.js";
import type { HandshakeOptions } from "./handshake.js";
import type { HeartbeatContent } from "./heartbeat_content.js";
import { Heartbeats } from "./heartbeats.js";
import { Membership } from "./membership.js";
import { MessageIntake } from "./message_intake.js";
import type { PeerError } from "./peer_error.js";
import { PeerLinks, type ReceivedFrame } from "./peer_links.js";
import type {
  MembershipView,
  PeerIdentity,
  PeerLifeEvents,
  PeerMessageEvents,
} from "./peer_network.js";
import type { PeerRecord } from "./peer_record.js";
import { PeerRegistry } from "./peer_registry.js";
import { runPeerTask } from "./peer_task.js";
import { reportPeerError } from "./report_peer_error.js";
import type {
  PeerNetworkOptions,
  RunningPeerNetwork,
} from "./running_peer_network.js";

/** A connection without a frame for so many intervals yields to a new one. */
const QUIET_INTERVALS = 3;

/** One for each process. */
export class PeerNetworkDriver implements RunningPeerNetwork {
  readonly self: PeerIdentity;
  readonly messages = new Emittery<PeerMessageEvents>();
  readonly life = new Emittery<PeerLifeEvents>();
  readonly #options: PeerNetworkOptions;
  readonly #registry: PeerRegistry;
  readonly #links: PeerLinks;
  readonly #membership: Membership;
  readonly #heartbeats: Heartbeats;
  readonly #intake: MessageIntake;
  readonly #acceptor: PeerAcceptor;
  readonly #abort = new AbortController();
  readonly #heartbeatTimeoutMs: number;
  #address: Address;
  #timer: NodeJS.Timeout | undefined;
  #lastBeatAtMs: number;

  constructor(options: PeerNetworkOptions) {
    const { settings, incarnation, clock } = options;
    const { heartbeat_timeout_ms } = settings.peers;
    // One listener for each connection is no leak.
    setMaxListeners(0, this.#abort.signal);
    this.#options = options;
    this.#address = settings.listen.peers;
    this.#heartbeatTimeoutMs = heartbeat_timeout_ms;
    this.#lastBeatAtMs = clock.nowMs();
    this.self = {
      vmId: settings.vm.id,
      incarnation,
      dataCentre: settings.vm.data_centre,
    };
    this.#registry = new PeerRegistry({
      self: this.self,
      onAdded: (peer) => {
        this.#startTask(peer);
      },
    });
    this.#membership = new Membership({
      self: this.self,
      registry: this.#registry,
      heartbeatTimeoutMs: heartbeat_timeout_ms,
      onChanged: (view) => {
        void this.life.emit("membershipChanged", view);
      },
    });
    this.#links = this.#makeLinks();
    this.#heartbeats = new Heartbeats({
      self: this.self,
      registry: this.#registry,
      links: this.#links,
      membership: this.#membership,
      heartbeatTimeoutMs: heartbeat_timeout_ms,
    });
    this.#intake = new MessageIntake({
      heartbeats: this.#heartbeats,
      membership: this.#membership,
      heartbeatTimeoutMs: heartbeat_timeout_ms,
      onNews: () => {
        this.#refreshView();
      },
    });
    this.#acceptor = this.#makeAcceptor();
  }

  get address(): Address {
    return this.#address;
  }

  async start(): Promise<void> {
    const { clock, settings } = this.#options;
    this.#address = await this.#acceptor.listen();
    this.#registry.addSeeds(settings.peers.seeds);
    this.#lastBeatAtMs = clock.nowMs();
    this.#timer = setInterval(() => {
      this.#beat(clock.nowMs());
    }, settings.peers.heartbeat_interval_ms);
  }

  send(to: VmId, message: PeerMessage): boolean {
    return this.#links.send(to, message);
  }

  view(nowMs: number): MembershipView {
    this.#notePause(nowMs);
    return this.#membership.view(nowMs);
  }

  setListedVms(listing: VmListing): void {
    this.#registry.applyListing(listing);
    this.#refreshView();
  }

  setGeneration(generation: number): void {
    this.#membership.ownGeneration = generation;
    this.#membership.invalidate();
  }

  setNewsVersions(versions: readonly number[]): void {
    this.#membership.ownNewsVersions = versions;
    this.#membership.invalidate();
  }

  setHeartbeatContent(content: HeartbeatContent): void {
    this.#heartbeats.content = content;
  }

  announceLeaving(): void {
    this.#membership.isLeaving = true;
    for (const peer of this.#registry.all()) {
      if (peer.link === undefined) continue;
      this.#links.send(peer.vmId, { type: "leaving", vmId: this.self.vmId });
    }
    this.#refreshView();
  }

  async close(): Promise<void> {
    clearInterval(this.#timer);
    this.#abort.abort();
    for (const peer of this.#registry.all()) this.#registry.forget(peer);
    this.#links.closeAll();
    this.#links.flushCounts();
    await this.#acceptor.close();
  }

  #makeLinks(): PeerLinks {
    const { settings, clock, metrics } = this.#options;
    return new PeerLinks({
      registry: this.#registry,
      clock,
      metrics,
      quietMs: QUIET_INTERVALS * settings.peers.heartbeat_interval_ms,
      onConnected: (peer) => {
        this.#onConnected(peer);
      },
      onDisconnected: (peer) => {
        this.#onDisconnected(peer);
      },
      onMessage: (received) => {
        this.#onMessage(received);
      },
    });
  }

  #makeAcceptor(): PeerAcceptor {
    const { settings, clock, metrics, logger } = this.#options;
    return new PeerAcceptor({
      address: settings.listen.peers,
      links: this.#links,
      clock,
      handshakeTimeoutMs: this.#heartbeatTimeoutMs,
      handshake: () => this.#handshake(),
      onEnded: (error) => {
        reportPeerError(error, { metrics, logger });
      },
    });
  }

  #startTask(peer: PeerRecord): void {
    const { clock, metrics, logger } = this.#options;
    void runPeerTask(peer, {
      links: this.#links,
      clock,
      connectTimeoutMs: this.#heartbeatTimeoutMs,
      sourceAddress: this.#options.settings.vm.source_address,
      handshake: () => this.#handshake(),
      onEnded: (_, error) => {
        if (error !== undefined) reportPeerError(error, { metrics, logger });
        this.#noteFailedDial(peer, error);
      },
      signal: this.#abort.signal,
    });
  }

  #handshake(): HandshakeOptions {
    return {
      sharedKey: this.#options.settings.peers.shared_key,
      self: this.self,
      generation: this.#membership.ownGeneration,
    };
  }

  #beat(nowMs: number): void {
    this.#notePause(nowMs);
    this.#lastBeatAtMs = nowMs;
    this.#heartbeats.beat(nowMs);
    this.#heartbeats.closeQuiet(nowMs);
    this.#forgetGone(nowMs);
    this.#links.flushCounts();
    this.#membership.view(nowMs);
  }

  /** After a pause all that is known of the others is old. */
  #notePause(nowMs: number): void {
    const pausedMs = nowMs - this.#lastBeatAtMs;
    if (pausedMs <= this.#heartbeatTimeoutMs) return;
    this.#lastBeatAtMs = nowMs;
    for (const peer of this.#registry.all()) {
      peer.markStale(this.#heartbeats.sequence);
      if (peer.link !== undefined) peer.link.lastFrameAtMs = nowMs;
    }
    this.#options.metrics.countEvent("processPaused");
    this.#options.logger.warn("processPaused", { pausedMs });
    this.#refreshView();
  }

  #noteFailedDial(peer: PeerRecord, error: PeerError | undefined): void {
    peer.pendingFrames = [];
    if (peer.link !== undefined || error === undefined) return;
    peer.isSuspect = true;
    peer.isRefused = isConnectionRefused(error);
    this.#registry.refreshLinkNeeds();
    this.#refreshView();
  }

  #forgetGone(nowMs: number): void {
    for (const member of this.#membership.view(nowMs).members) {
      const peer = this.#registry.get(member.vmId);
      if (peer === undefined || peer.isSeed || member.state !== "gone") {
        continue;
      }
      if (peer.listed === "dropped") this.#registry.forget(peer);
    }
  }

  #onConnected(peer: PeerIdentity): void {
    const { dataCentre, incarnation } = peer;
    this.#options.logger.info("peerConnected", {
      peer: peer.vmId,
      dataCentre,
      incarnation,
    });
    void this.life.emit("connected", peer);
    queueMicrotask(() => {
      this.#refreshView();
    });
  }

  #onDisconnected(peer: PeerIdentity): void {
    this.#options.logger.info("peerDisconnected", {
      peer: peer.vmId,
      incarnation: peer.incarnation,
    });
    void this.life.emit("disconnected", peer);
  }

  #onMessage(received: ReceivedFrame): void {
    const { link, message } = received;
    const nowMs = this.#options.clock.nowMs();
    this.#notePause(nowMs);
    this.#intake.take(received, nowMs);
    // The compiler can't see that message and type belong together.
    const event = { from: link.identity, message } as PeerMessageEvents[
      PeerMessageType
    ];
    void this.messages.emit(message.type, event);
  }

  #refreshView(): void {
    this.#membership.invalidate();
    this.#membership.view(this.#options.clock.nowMs());
  }
}

function isConnectionRefused(error: PeerError): boolean {
  const { cause } = error;
  return cause instanceof Error && "code" in cause &&
    cause.code === "ECONNREFUSED";
}
