/**
 * Reads a peer's member state off what is known of it.
 *
 * @module
 */

import type { MemberState } from "./peer_network.js";
import type { PeerRecord } from "./peer_record.js";

export interface StateContext {
  readonly nowMs: number;
  readonly heartbeatTimeoutMs: number;
}

/** Links that aren't standing carry a heartbeat every so many intervals. */
export const RARE_HEARTBEAT_INTERVALS = 5;

/**
 * The silence after which a peer counts as silent.
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
  switch (peer.linkNeed) {
    case "standing":
      return heartbeatTimeoutMs;
    case "gossip":
    case "onDemand":
      return heartbeatTimeoutMs * RARE_HEARTBEAT_INTERVALS;
  }
}

/**
 * The state of a peer. Being heard outweighs the platform's list; a refused
 * connection since then outweighs both.
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
  const isHeard = isWithinLimit(peer, context) || isPresumedLive(peer);
  if (!isHeard && peer.listed === "dropped") return "gone";
  if (peer.saidLeaving) return "leaving";
  if (!isHeard) return "silent";
  return peer.listed === "leaving" ? "leaving" : "live";
}

/** No connection is kept to it, and the last one gave no cause for doubt. */
export function isPresumedLive(peer: PeerRecord): boolean {
  return peer.linkNeed === "onDemand" && peer.link === undefined &&
    !peer.isSuspect && peer.listed !== "dropped";
}

function isWithinLimit(peer: PeerRecord, context: StateContext): boolean {
  const limitMs = silenceLimitMs(peer, context.heartbeatTimeoutMs);
  return context.nowMs - peer.lastHeardAtMs <= limitMs;
}
