/**
 * Derives a peer's member state from its record.
 *
 * @module
 */

import type { MemberState } from "./peer_network.js";
import type { PeerRecord } from "./peer_record.js";

export interface StateContext {
  readonly nowMs: number;
  readonly heartbeatTimeoutMs: number;
}

/** Heartbeat intervals per heartbeat on links that aren't `standing`. */
export const REDUCED_HEARTBEAT_INTERVALS = 5;

/**
 * Time in milliseconds without a message after which a peer is `silent`.
 *
 * @example
 * ```ts
 * const isLate = nowMs - peer.lastHeardAtMs > silenceLimitMs(peer, 1000);
 * ```
 */
export function silenceLimitMs(
  peer: PeerRecord,
  heartbeatTimeoutMs: number,
): number {
  if (peer.statedIntervals !== undefined) {
    return heartbeatTimeoutMs * peer.statedIntervals;
  }
  switch (peer.linkPolicy) {
    case "standing":
      return heartbeatTimeoutMs;
    case "gossip":
    case "onDemand":
      return heartbeatTimeoutMs * REDUCED_HEARTBEAT_INTERVALS;
  }
}

/**
 * Returns the state of a peer. A recent message takes precedence over the
 * platform's list of VMs. A connection refused since that message takes
 * precedence over both.
 *
 * @example
 * ```ts
 * const state = memberStateOf(peer, { nowMs, heartbeatTimeoutMs });
 * ```
 */
export function memberStateOf(
  peer: PeerRecord,
  context: StateContext,
): MemberState {
  if (peer.isRefused) return "gone";
  const isHeard = isHeardWithinLimit(peer, context) || isPresumedLive(peer);
  if (!isHeard && peer.listed === "dropped") return "gone";
  if (peer.announcedLeaving) return "leaving";
  if (!isHeard) return "silent";
  return peer.listed === "leaving" ? "leaving" : "live";
}

/**
 * Whether a peer without a connection is assumed to be live: it is connected to
 * on demand only, no connection to it has failed since it was last heard, and
 * the platform's list has not dropped it.
 */
export function isPresumedLive(peer: PeerRecord): boolean {
  return peer.linkPolicy === "onDemand" && peer.link === undefined &&
    !peer.isSuspect && peer.listed !== "dropped";
}

function isHeardWithinLimit(peer: PeerRecord, context: StateContext): boolean {
  const limitMs = silenceLimitMs(peer, context.heartbeatTimeoutMs);
  return context.nowMs - peer.lastHeardAtMs <= limitMs;
}
