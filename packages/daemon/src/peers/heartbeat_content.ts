/**
 * What the pools put into heartbeats and read from them.
 *
 * @module
 */

import type { PoolId, VmId } from "@sassafrasstage/protocol/ids";

/** The peer layer asks this for the pool part of each heartbeat. */
export interface HeartbeatContent {
  /** Pools that this daemon owns or wants to own; read at each sending. */
  ownedPools(nowMs: number): PoolId[];
  /**
   * Decides for which of the asked pools this daemon backs the sender of a
   * heartbeat. The reply has to go out in the same turn.
   */
  supportFor(from: VmId, pools: readonly PoolId[], nowMs: number): PoolId[];
  /**
   * Takes the reply to a heartbeat.
   *
   * @param sentAtMs when the answered heartbeat was sent, by this process's
   *   monotonic clock: an ownership lease runs from there
   */
  onReply(
    from: VmId,
    sentAtMs: number,
    supported: readonly PoolId[],
  ): void;
}
