/**
 * A permit request as it waits in its owner's queue.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { PermitRequest } from "@sassafrasstage/protocol/permits";

/** All times are the owner's own. */
export interface WaitingRequest {
  /** Its attempt id names one sending of the permit request, not the stage's attempt. */
  readonly permitRequest: PermitRequest;
  readonly from: VmId;
  readonly receivedAtMs: number;
  readonly latestStartAtMs: number;
  readonly deadlineAtMs: number;
  /** Rises with each permit request of the pool; settles ties. */
  readonly number: number;
  readonly share: number;
}

/**
 * Server time that the permit request is likely to take.
 *
 * @example
 * ```ts
 * const workMs = likelyWorkMs(waiting);
 * ```
 */
export function likelyWorkMs(waiting: WaitingRequest): number {
  return Math.max(1, waiting.permitRequest.likelyDurationMs);
}

/** A permit request as it came, and its client account's share of the pool. */
export interface RequestArrival {
  readonly from: VmId;
  readonly permitRequest: PermitRequest;
  readonly share: number;
}

/**
 * Turns the times that are left into moments of the owner's clock.
 *
 * @example
 * ```ts
 * makeWaitingRequest(arrival, { number: 7, nowMs });
 * ```
 */
export function makeWaitingRequest(
  received: RequestArrival,
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
