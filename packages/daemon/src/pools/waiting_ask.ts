/**
 * An ask as it waits in its owner's queue.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { PermitAsk } from "@sassafrasstage/protocol/permits";

/** All times are the owner's own. */
export interface WaitingAsk {
  /** Its attempt id names one sending of the ask, not the stage's attempt. */
  readonly ask: PermitAsk;
  readonly from: VmId;
  readonly receivedAtMs: number;
  readonly latestStartAtMs: number;
  readonly deadlineAtMs: number;
  /** Rises with each ask of the pool; settles ties. */
  readonly number: number;
  readonly share: number;
}

/**
 * Server time that the ask is likely to take.
 *
 * @example
 * ```ts
 * const workMs = likelyWorkMs(waiting);
 * ```
 */
export function likelyWorkMs(waiting: WaitingAsk): number {
  return Math.max(1, waiting.ask.likelyDurationMs);
}
