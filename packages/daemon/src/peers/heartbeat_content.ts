/**
 * What heartbeats carry for other parts of the daemon.
 *
 * @module
 */

import type { PoolId, VmId } from "@sassafrasstage/protocol/ids";
import type { PoisonPartNews } from "@sassafrasstage/protocol/poison_parts";
import type { BegunStreams } from "@sassafrasstage/protocol/stream_origin";

/**
 * Returns the streams that began since the last call. They are sent to the peers
 * to which a connection is always kept.
 */
export type TakeBegunStreams = (nowMs: number) => readonly BegunStreams[];

/**
 * Returns the news of prompt parts since the last call, if there are any. They
 * are sent to the same peers as begun streams.
 */
export type TakePoisonPartNews = (nowMs: number) => PoisonPartNews | undefined;

/**
 * Returns the time in milliseconds since the platform's store answered, if this
 * VM watches it for others.
 */
export type ReadStoreAge = (nowMs: number) => number | undefined;

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
