/**
 * An attempt that waits, at the asking daemon, for its decision.
 *
 * @module
 */

import type { AttemptId, VmId } from "@sassafrasstage/protocol/ids";
import type {
  PermitDecision,
  PermitRequest,
} from "@sassafrasstage/protocol/permits";

/** Where the permit request stands. */
export type RequestProgress =
  /** To be sent when `sendAtMs` is reached. */
  | { readonly kind: "unsent"; readonly sendAtMs: number }
  | {
    readonly kind: "sent";
    readonly owner: VmId;
    /** Names this one sending; no other sending's decision counts. */
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
  /** The pool's owner, and since when this permit request has been for it. */
  owner: VmId | undefined;
  ownerSinceMs: number;
}

export interface NewPermitRequest {
  readonly permitRequest: PermitRequest;
  readonly settle: (decision: PermitDecision) => void;
}

/**
 * Starts the times of a permit request: they count from its first sending.
 *
 * @example
 * ```ts
 * const pending = startRequest({ permitRequest, settle }, nowMs);
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
 * The permit request as it goes out now, under the id of this sending.
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
