/**
 * Sends heartbeats, replies to those of peers, and closes inactive connections.
 *
 * @module
 */

import type { PoolId, VmId } from "@sassafrasstage/protocol/ids";
import type {
  HeartbeatMessage,
  HeartbeatReplyMessage,
} from "@sassafrasstage/protocol/peer_messages";
import { FIRST_STORE_ERA } from "@sassafrasstage/protocol/platform_objects";
import type { PoisonPartNews } from "@sassafrasstage/protocol/poison_parts";
import type { BegunStreams } from "@sassafrasstage/protocol/stream_origin";
import { encodeFrame } from "./frame_codec.js";
import type {
  HeartbeatContent,
  ReadStoreAge,
  TakeBegunStreams,
  TakePoisonPartNews,
} from "./heartbeat_content.js";
import {
  type HeartbeatRole,
  isTurnOf,
  planHeartbeats,
} from "./heartbeat_plan.js";
import { REDUCED_HEARTBEAT_INTERVALS, silenceLimitMs } from "./member_state.js";
import type { Membership } from "./membership.js";
import { PeerError } from "./peer_error.js";
import { IDLE_LINK_MS, type PeerLinks } from "./peer_links.js";
import type { PeerIdentity } from "./peer_network.js";
import type { PeerLink, PeerRecord } from "./peer_record.js";
import type { PeerRegistry } from "./peer_registry.js";

/** Multiple of the silence limit after which a silent connection is closed. */
const CLOSE_TIMEOUT_FACTOR = 2;

export interface HeartbeatsOptions {
  readonly self: PeerIdentity;
  readonly registry: PeerRegistry;
  readonly links: PeerLinks;
  readonly membership: Membership;
  readonly heartbeatIntervalMs: number;
  readonly heartbeatTimeoutMs: number;
}

/** A heartbeat with its sender and the connection that it arrived on. */
export interface ReceivedHeartbeat {
  readonly peer: PeerRecord;
  readonly link: PeerLink;
  readonly message: HeartbeatMessage;
}

/** What is new since the last heartbeat. */
interface HeartbeatNews {
  readonly begunStreams: readonly BegunStreams[];
  readonly poisonParts: PoisonPartNews | undefined;
}

const NO_NEWS: HeartbeatNews = { begunStreams: [], poisonParts: undefined };

/** What the heartbeats of one interval carry, to some of the peers. */
interface HeartbeatParts {
  readonly news: HeartbeatNews;
  /** Undefined unless this VM watches the store for others. */
  readonly storeAgeMs: number | undefined;
  readonly ownedPools: readonly PoolId[];
}

/** What distinguishes the frames that are sent in one interval. */
interface FrameVariant {
  readonly withPools: boolean;
  readonly withNews: boolean;
  readonly intervals: number;
}

const EMPTY_CONTENT: HeartbeatContent = {
  ownedPools: () => [],
  supportFor: () => [],
  onReply: () => undefined,
};

/**
 * Sends heartbeats to all peers. One instance serves all of them, so that a
 * heartbeat is not encoded again for each peer.
 */
export class Heartbeats {
  readonly #options: HeartbeatsOptions;
  readonly #sentTimesMs = new Map<number, number>();
  content: HeartbeatContent = EMPTY_CONTENT;
  takeBegunStreams: TakeBegunStreams = () => [];
  takePoisonPartNews: TakePoisonPartNews = () => undefined;
  storeAgeMs: ReadStoreAge = () => undefined;
  sequence = 0;
  #wantsReply = false;

  constructor(options: HeartbeatsOptions) {
    this.#options = options;
  }

  /**
   * Sends the due heartbeats; called once per heartbeat interval. Urgent ones go
   * to all connected peers.
   */
  sendHeartbeats(nowMs: number, isUrgent = false): void {
    this.sequence++;
    this.#sentTimesMs.set(this.sequence, nowMs);
    this.#pruneSentTimes(nowMs);
    const { registry, self } = this.#options;
    // After a pause of this process, buffered messages may be old. Only a reply
    // to a new heartbeat shows that a peer is alive.
    this.#wantsReply = registry.all().some((peer) =>
      peer.link !== undefined && peer.replyRequiredAfterSequence !== undefined
    );
    const news = {
      begunStreams: this.takeBegunStreams(nowMs),
      poisonParts: this.takePoisonPartNews(nowMs),
    };
    const parts = {
      news,
      storeAgeMs: this.storeAgeMs(nowMs),
      ownedPools: this.content.ownedPools(nowMs),
    };
    const frameOf = this.#makeFrames(parts);
    const plan = planHeartbeats(self, registry.all(), roleOf(parts));
    for (const [peer, intervals] of plan) {
      if (peer.link === undefined) continue;
      const withNews = peer.linkPolicy === "standing" && !isEmpty(news);
      const isDue = isUrgent || withNews || intervals !== peer.sentIntervals ||
        peer.replyRequiredAfterSequence !== undefined ||
        isTurnOf(peer, { sequence: this.sequence, intervals });
      if (!isDue) continue;
      peer.sentIntervals = intervals;
      const withPools = peer.dataCentre === self.dataCentre;
      this.#options.links.sendFrame(
        peer.link,
        frameOf({ withPools, withNews, intervals }),
      );
    }
  }

  /** Encodes each variant once, for all peers that get it. */
  #makeFrames(parts: HeartbeatParts): (variant: FrameVariant) => Buffer {
    const { news, storeAgeMs, ownedPools } = parts;
    const frames = new Map<string, Buffer>();
    return ({ withPools, withNews, intervals }) => {
      const key = `${withPools} ${withNews} ${intervals}`;
      let frame = frames.get(key);
      if (frame === undefined) {
        frame = encodeFrame({
          ...this.#makeHeartbeat(withNews ? news : NO_NEWS, storeAgeMs),
          intervalMs: intervals * this.#options.heartbeatIntervalMs,
          ...(withPools && { ownedPools }),
        });
        frames.set(key, frame);
      }
      return frame;
    };
  }

  /** Closes half-open connections and idle on-demand connections. */
  closeInactiveLinks(nowMs: number): void {
    const { registry, heartbeatTimeoutMs } = this.#options;
    for (const peer of registry.all()) {
      const link = peer.link;
      if (link === undefined) continue;
      const limitMs = silenceLimitMs(peer, heartbeatTimeoutMs);
      if (nowMs - link.lastFrameAtMs > CLOSE_TIMEOUT_FACTOR * limitMs) {
        link.channel.destroy(
          new PeerError(
            "silent",
            "No frame was received within the time limit",
          ),
        );
      } else if (isIdle(peer, link, nowMs)) {
        link.channel.end();
      }
    }
  }

  /** Replies if the heartbeat names pools or requests a reply. */
  replyTo(received: ReceivedHeartbeat, nowMs: number): void {
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

  handleReply(from: VmId, reply: HeartbeatReplyMessage): void {
    const sentAtMs = this.#sentTimesMs.get(reply.sequence);
    if (sentAtMs === undefined) return;
    this.content.onReply(from, sentAtMs, reply.supportedPools);
  }

  #makeHeartbeat(
    news: HeartbeatNews,
    storeAgeMs: number | undefined,
  ): HeartbeatMessage {
    const { membership } = this.#options;
    const { begunStreams, poisonParts } = news;
    return {
      type: "heartbeat",
      sequence: this.sequence,
      generation: membership.ownGeneration,
      leaving: membership.isLeaving,
      ownedPools: [],
      ...(this.#wantsReply && { wantsReply: true }),
      ...(membership.ownNewsVersions.length > 0 &&
        { newsVersions: membership.ownNewsVersions }),
      ...(membership.ownNewsEras.some((era) => era !== FIRST_STORE_ERA) &&
        { newsEras: membership.ownNewsEras }),
      ...(begunStreams.length > 0 && { begunStreams }),
      ...(poisonParts !== undefined && { poisonParts }),
      ...(membership.ownRelaysCalls && { relaysCalls: true }),
      ...(membership.ownTakesObjectChanges && { takesObjectChanges: true }),
      ...(membership.ownKnowsRollouts && { knowsRollouts: true }),
      ...(storeAgeMs !== undefined && { storeAgeMs }),
      ...(membership.ownCutOffServices.length > 0 &&
        { cutOffServices: membership.ownCutOffServices }),
    };
  }

  #pruneSentTimes(nowMs: number): void {
    const retentionMs = CLOSE_TIMEOUT_FACTOR * REDUCED_HEARTBEAT_INTERVALS *
      this.#options.heartbeatTimeoutMs;
    for (const [sequence, sentAtMs] of this.#sentTimesMs) {
      if (nowMs - sentAtMs <= retentionMs) return;
      this.#sentTimesMs.delete(sequence);
    }
  }
}

function roleOf({ ownedPools, storeAgeMs }: HeartbeatParts): HeartbeatRole {
  if (ownedPools.length > 0) return "poolOwner";
  return storeAgeMs === undefined ? "regular" : "storeWatcher";
}

function isEmpty(news: HeartbeatNews): boolean {
  return news.begunStreams.length === 0 && news.poisonParts === undefined;
}

function isIdle(peer: PeerRecord, link: PeerLink, nowMs: number): boolean {
  return peer.linkPolicy === "onDemand" &&
    nowMs - link.lastUsedAtMs > IDLE_LINK_MS;
}
