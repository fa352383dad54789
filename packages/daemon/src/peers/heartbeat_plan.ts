/**
 * Decides which of a VM's heartbeats go to each peer.
 *
 * Load pattern: a data centre with dozens of VMs, each of which has a fraction
 * of a core. Every heartbeat to every VM would make each VM's cost grow with the
 * fleet. A lost connection reports most failures at once; only VMs that are
 * frozen or cut off are noticed by their silence.
 *
 * @module
 */

import { REDUCED_HEARTBEAT_INTERVALS } from "./member_state.js";
import type { PeerIdentity } from "./peer_network.js";
import type { PeerRecord } from "./peer_record.js";
import { hash32, rankByRendezvous } from "./rendezvous.js";

/** Largest number of standing peers that all get every heartbeat. */
const MAX_FREQUENT_PEERS = 15;
/**
 * Of more standing peers, those that get every heartbeat, so that news reach
 * all VMs within a few intervals although the platform's store rejects some.
 */
export const FREQUENT_PEERS = 3;
/** Between the heartbeats on which the other VMs of a data centre rely. */
const WATCHER_INTERVALS = 2;
/** Limits how long a peer's statement can keep it from becoming silent. */
const MAX_STATED_INTERVALS = 2 * REDUCED_HEARTBEAT_INTERVALS;

export type HeartbeatRole =
  | "regular"
  /** Tells the VMs of its data centre what the platform's store holds. */
  | "storeWatcher"
  /** Renews its leases by the replies of its data centre to each heartbeat. */
  | "poolOwner";

/**
 * Sets for each peer how many heartbeat intervals lie between the heartbeats
 * that it gets.
 *
 * @example
 * ```ts
 * planHeartbeats(self, registry.all(), "regular");
 * ```
 */
export function planHeartbeats(
  self: PeerIdentity,
  peers: readonly PeerRecord[],
  role: HeartbeatRole,
): Map<PeerRecord, number> {
  const standing = peers.filter((peer) => peer.linkPolicy === "standing");
  const areAllFrequent = role === "poolOwner" ||
    standing.length <= MAX_FREQUENT_PEERS;
  const frequent = areAllFrequent ? undefined : new Set(
    rankByRendezvous(self.vmId, standing.map(({ vmId }) => vmId))
      .slice(0, FREQUENT_PEERS),
  );
  return new Map(peers.map((peer) => {
    const isFrequent = peer.linkPolicy === "standing" &&
      (frequent === undefined || frequent.has(peer.vmId) ||
        peer.statedIntervals === undefined);
    if (isFrequent) return [peer, 1];
    const isFollower = role === "storeWatcher" &&
      peer.linkPolicy === "standing";
    return [
      peer,
      isFollower ? WATCHER_INTERVALS : REDUCED_HEARTBEAT_INTERVALS,
    ];
  }));
}

/** Whether the peer's turn comes with this heartbeat; turns are spread evenly. */
export function isTurnOf(
  peer: PeerRecord,
  turn: { readonly sequence: number; readonly intervals: number },
): boolean {
  const offset = hash32(peer.vmId) % turn.intervals;
  return turn.sequence % turn.intervals === offset;
}

/**
 * Returns a peer's stated interval as a multiple of this VM's own, within
 * bounds.
 *
 * @example
 * ```ts
 * peer.statedIntervals = toStatedIntervals(message.intervalMs, 300);
 * ```
 */
export function toStatedIntervals(
  intervalMs: number | undefined,
  ownIntervalMs: number,
): number | undefined {
  if (intervalMs === undefined) return undefined;
  const intervals = intervalMs / ownIntervalMs;
  return Math.min(MAX_STATED_INTERVALS, Math.max(1, intervals));
}
