/**
 * A permit request that waits in its owner's queue.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { PermitRequest } from "@sassafrasstage/protocol/permits";

/** All times are by the owner's clock. */
export interface WaitingRequest {
  /** Its attempt id identifies one transmission, not the stage's attempt. */
  readonly permitRequest: PermitRequest;
  readonly from: VmId;
  readonly receivedAtMs: number;
  readonly latestStartAtMs: number;
  readonly deadlineAtMs: number;
  /** Increases with each permit request of the pool; breaks ties. */
  readonly number: number;
  readonly share: number;
}

/**
 * Expected server time of the permit request, at least 1 ms.
 *
 * @example
 * ```ts
 * const workMs = likelyWorkMs(waiting);
 * ```
 */
export function likelyWorkMs(waiting: WaitingRequest): number {
  return Math.max(1, waiting.permitRequest.likelyDurationMs);
}

/** A permit request as received, with its client account's share of the pool. */
export interface ReceivedRequest {
  readonly from: VmId;
  readonly permitRequest: PermitRequest;
  readonly share: number;
}

/**
 * Converts the remaining times of a permit request into times by the owner's clock.
 *
 * @example
 * ```ts
 * makeWaitingRequest(received, { number: 7, nowMs });
 * ```
 */
export function makeWaitingRequest(
  received: ReceivedRequest,
  entry: { readonly number: number; readonly nowMs: number },
): WaitingRequest {
  const { permitRequest } = received;
  const { number, nowMs } = entry;
  return {
    ...received,
    number,
    receivedAtMs: nowMs,
    latestStartAtMs: nowMs + permitRequest.latestStartInMs,
    deadlineAtMs: nowMs + permitRequest.deadlineInMs,
  };
}
