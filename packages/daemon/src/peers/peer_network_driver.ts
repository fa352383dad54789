/**
 * Combines the listener, the peer tasks, the heartbeats and the membership.
 *
 * @module
 */

import type { ServiceName, VmId } from "@sassafrasstage/protocol/ids";
import type {
  PeerMessage,
  PeerMessageType,
} from "@sassafrasstage/protocol/peer_messages";
import type {
  StoreEra,
  VmListing,
} from "@sassafrasstage/protocol/platform_objects";
import Emittery from "emittery";
import { setMaxListeners } from "node:events";
import type { Address } from "../settings/settings.js";
import { PeerAcceptor } from "./peer_acceptor.js";
import type { HandshakeOptions } from "./handshake.js";
import type {
  HeartbeatContent,
  ReadStoreAge,
  TakeBegunStreams,
  TakePoisonPartNews,
} from "./heartbeat_content.js";
import { Heartbeats } from "./heartbeats.js";
import { Membership } from "./membership.js";
import { isSameList } from "./is_same_list.js";
import { MessageHandler } from "./message_handler.js";
import type { PeerError } from "./peer_error.js";
import { PeerLinks, type ReceivedFrame } from "./peer_links.js";
import type {
  MembershipView,
  PeerIdentity,
  PeerLifecycleEvents,
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

/**
 * Heartbeat intervals without a received frame after which a new connection
 * replaces an existing one.
 */
const STALE_LINK_INTERVALS = 3;

/** The peer network of this process; there is one instance per process. */
export class PeerNetworkDriver implements RunningPeerNetwork {
  readonly self: PeerIdentity;
  readonly messages = new Emittery<PeerMessageEvents>();
  readonly lifecycle = new Emittery<PeerLifecycleEvents>();
  readonly #options: PeerNetworkOptions;
  readonly #registry: PeerRegistry;
  readonly #links: PeerLinks;
  readonly #membership: Membership;
  readonly #heartbeats: Heartbeats;
  readonly #messageHandler: MessageHandler;
  readonly #acceptor: PeerAcceptor;
  readonly #abort = new AbortController();
  readonly #heartbeatTimeoutMs: number;
  #address: Address;
  #timer: NodeJS.Timeout | undefined;
  #lastHeartbeatAtMs: number;

  constructor(options: PeerNetworkOptions) {
    const { settings, incarnation, clock } = options;
    const { heartbeat_timeout_ms } = settings.peers;
    // Each connection adds a listener; Node.js would warn of a leak above 10.
    setMaxListeners(0, this.#abort.signal);
    this.#options = options;
    this.#address = settings.listen.peers;
    this.#heartbeatTimeoutMs = heartbeat_timeout_ms;
    this.#lastHeartbeatAtMs = clock.nowMs();
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
        void this.lifecycle.emit("membershipChanged", view);
      },
    });
    this.#links = this.#makeLinks();
    this.#heartbeats = new Heartbeats({
      self: this.self,
      registry: this.#registry,
      links: this.#links,
      membership: this.#membership,
      heartbeatIntervalMs: settings.peers.heartbeat_interval_ms,
      heartbeatTimeoutMs: heartbeat_timeout_ms,
    });
    this.#messageHandler = new MessageHandler({
      heartbeats: this.#heartbeats,
      membership: this.#membership,
      heartbeatIntervalMs: settings.peers.heartbeat_interval_ms,
      heartbeatTimeoutMs: heartbeat_timeout_ms,
      onStateMayHaveChanged: () => {
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
    this.#lastHeartbeatAtMs = clock.nowMs();
    this.#timer = setInterval(() => {
      this.#onHeartbeatInterval(clock.nowMs());
    }, settings.peers.heartbeat_interval_ms);
  }

  send(to: VmId, message: PeerMessage, onDropped?: () => void): boolean {
    return this.#links.send(to, message, onDropped);
  }

  sendToAll(to: readonly VmId[], message: PeerMessage): void {
    this.#links.sendToAll(to, message);
  }

  view(nowMs: number): MembershipView {
    this.#handlePause(nowMs);
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

  setNewsVersions(
    versions: readonly number[],
    eras: readonly StoreEra[],
  ): void {
    const { ownNewsVersions, ownNewsEras } = this.#membership;
    if (
      isSameList(versions, ownNewsVersions) && isSameList(eras, ownNewsEras)
    ) {
      return;
    }
    this.#membership.ownNewsVersions = versions;
    this.#membership.ownNewsEras = eras;
    this.#membership.invalidate();
  }

  setRelaysCalls(): void {
    this.#membership.ownRelaysCalls = true;
    this.#membership.invalidate();
  }

  setTakesObjectChanges(): void {
    this.#membership.ownTakesObjectChanges = true;
    this.#membership.invalidate();
  }

  setKnowsRollouts(): void {
    this.#membership.ownKnowsRollouts = true;
    this.#membership.invalidate();
  }

  setStoreAge(read: ReadStoreAge): void {
    this.#heartbeats.storeAgeMs = read;
  }

  setCutOffServices(services: readonly ServiceName[]): void {
    this.#membership.ownCutOffServices = services;
    this.#membership.invalidate();
    // Peers must not choose this VM for what it can't do any more.
    this.#heartbeats.sendHeartbeats(this.#options.clock.nowMs(), true);
  }

  setBegunStreams(take: TakeBegunStreams): void {
    this.#heartbeats.takeBegunStreams = take;
  }

  setPoisonPartNews(take: TakePoisonPartNews): void {
    this.#heartbeats.takePoisonPartNews = take;
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
    for (const peer of this.#registry.all()) this.#registry.remove(peer);
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
      staleMs: STALE_LINK_INTERVALS * settings.peers.heartbeat_interval_ms,
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
      portWaitMs: settings.listen.port_wait_ms,
      logger,
      links: this.#links,
      clock,
      handshakeTimeoutMs: this.#heartbeatTimeoutMs,
      handshakeOptions: () => this.#handshakeOptions(),
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
      handshakeOptions: () => this.#handshakeOptions(),
      onEnded: (_, error) => {
        if (error !== undefined) reportPeerError(error, { metrics, logger });
        this.#recordFailedDial(peer, error);
      },
      signal: this.#abort.signal,
    });
  }

  #handshakeOptions(): HandshakeOptions {
    return {
      sharedKey: this.#options.settings.peers.shared_key,
      self: this.self,
      generation: this.#membership.ownGeneration,
    };
  }

  #onHeartbeatInterval(nowMs: number): void {
    this.#handlePause(nowMs);
    this.#lastHeartbeatAtMs = nowMs;
    this.#heartbeats.sendHeartbeats(nowMs);
    this.#heartbeats.closeInactiveLinks(nowMs);
    this.#removeGonePeers(nowMs);
    this.#links.flushCounts();
    this.#membership.view(nowMs);
  }

  /**
   * If this process was paused for longer than the heartbeat timeout, marks all
   * that is known of the peers as stale.
   */
  #handlePause(nowMs: number): void {
    const pausedMs = nowMs - this.#lastHeartbeatAtMs;
    if (pausedMs <= this.#heartbeatTimeoutMs) return;
    this.#lastHeartbeatAtMs = nowMs;
    for (const peer of this.#registry.all()) {
      peer.markStale(this.#heartbeats.sequence);
      if (peer.link !== undefined) peer.link.lastFrameAtMs = nowMs;
    }
    this.#options.metrics.countEvent("processPaused");
    this.#options.logger.warn("processPaused", { pausedMs });
    this.#refreshView();
  }

  #recordFailedDial(peer: PeerRecord, error: PeerError | undefined): void {
    const dropped = peer.pendingFrames;
    peer.pendingFrames = [];
    for (const { onDropped } of dropped) onDropped?.();
    if (peer.link !== undefined || error === undefined) return;
    peer.isSuspect = true;
    peer.isRefused = isConnectionRefused(error);
    this.#registry.updateLinkPolicies();
    this.#refreshView();
  }

  #removeGonePeers(nowMs: number): void {
    for (const member of this.#membership.view(nowMs).members) {
      const peer = this.#registry.get(member.vmId);
      if (peer === undefined || peer.isSeed || member.state !== "gone") {
        continue;
      }
      if (peer.listed === "dropped") this.#registry.remove(peer);
    }
  }

  #onConnected(peer: PeerIdentity): void {
    const { dataCentre, incarnation } = peer;
    this.#options.logger.info("peerConnected", {
      peer: peer.vmId,
      dataCentre,
      incarnation,
    });
    void this.lifecycle.emit("connected", peer);
    queueMicrotask(() => {
      this.#refreshView();
    });
  }

  #onDisconnected(peer: PeerIdentity): void {
    this.#options.logger.info("peerDisconnected", {
      peer: peer.vmId,
      incarnation: peer.incarnation,
    });
    void this.lifecycle.emit("disconnected", peer);
  }

  #onMessage(received: ReceivedFrame): void {
    const { link, message } = received;
    const nowMs = this.#options.clock.nowMs();
    this.#handlePause(nowMs);
    this.#messageHandler.handle(received, nowMs);
    // The compiler can't infer that the event name and the message correspond.
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
