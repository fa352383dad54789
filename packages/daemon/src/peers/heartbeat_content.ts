/**
 * The data about pools that heartbeats carry.
 *
 * @module
 */

import type { PoolId, VmId } from "@sassafrasstage/protocol/ids";

/** Supplies and receives the pool fields of heartbeats and their replies. */
export interface HeartbeatContent {
  /**
   * Pools that this daemon owns or wants to own. Called each time heartbeats
   * are sent.
   */
  ownedPools(nowMs: number): PoolId[];
  /**
   * Returns those of the given pools for which this daemon supports the
   * heartbeat's sender as owner. The reply has to be sent in the same turn of
   * the event loop.
   */
  supportFor(from: VmId, pools: readonly PoolId[], nowMs: number): PoolId[];
  /**
   * Handles the reply to a heartbeat.
   *
   * @param sentAtMs when the heartbeat was sent, on this process's monotonic
   *   clock; an ownership lease starts at this time
   */
  onReply(
    from: VmId,
    sentAtMs: number,
    supported: readonly PoolId[],
  ): void;
}
