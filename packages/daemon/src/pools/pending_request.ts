/**
 * A permit request that waits at the requesting daemon for the owner's decision.
 *
 * @module
 */

import type { AttemptId, VmId } from "@sassafrasstage/protocol/ids";
import type {
  PermitDecision,
  PermitRequest,
} from "@sassafrasstage/protocol/permits";

/** Whether the permit request has been sent to an owner. */
export type RequestProgress =
  /** To be sent when `sendAtMs` is reached. */
  | { readonly kind: "unsent"; readonly sendAtMs: number }
  | {
    readonly kind: "sent";
    readonly owner: VmId;
    /** Identifies this transmission; decisions on earlier ones are ignored. */
    readonly transmissionId: AttemptId;
    readonly sentAtMs: number;
  };

export interface PendingRequest {
  readonly permitRequest: PermitRequest;
  readonly submittedAtMs: number;
  readonly latestStartAtMs: number;
  readonly deadlineAtMs: number;
  readonly settle: (decision: PermitDecision) => void;
  progress: RequestProgress;
  /** The pool's owner at the last check. */
  owner: VmId | undefined;
  /** When `owner` last changed for this permit request. */
  ownerSinceMs: number;
}

export interface NewPermitRequest {
  readonly permitRequest: PermitRequest;
  readonly settle: (decision: PermitDecision) => void;
}

/**
 * Turns the relative times of a permit request into absolute ones, counted from
 * its submission. A retransmission doesn't extend them.
 *
 * @example
 * ```ts
 * const pending = createPendingRequest({ permitRequest, settle }, nowMs);
 * ```
 */
export function createPendingRequest(
  newPermitRequest: NewPermitRequest,
  nowMs: number,
): PendingRequest {
  return {
    ...newPermitRequest,
    submittedAtMs: nowMs,
    latestStartAtMs: nowMs + newPermitRequest.permitRequest.latestStartInMs,
    deadlineAtMs: nowMs + newPermitRequest.permitRequest.deadlineInMs,
    progress: { kind: "unsent", sendAtMs: nowMs },
    owner: undefined,
    ownerSinceMs: nowMs,
  };
}

/**
 * Builds the permit request for one transmission: its attempt id is the
 * transmission id, and its times are what is left at `nowMs`.
 *
 * @example
 * ```ts
 * link.send(owner, { type: "permitRequest", permitRequest: requestToSend(pending, { id, nowMs }) });
 * ```
 */
export function requestToSend(
  pending: PendingRequest,
  transmission: { readonly id: AttemptId; readonly nowMs: number },
): PermitRequest {
  return {
    ...pending.permitRequest,
    attemptId: transmission.id,
    latestStartInMs: pending.latestStartAtMs - transmission.nowMs,
    deadlineInMs: pending.deadlineAtMs - transmission.nowMs,
  };
}
