/**
 * An attempt that waits, at the asking daemon, for its decision.
 *
 * @module
 */

import type { AttemptId, VmId } from "@sassafrasstage/protocol/ids";
import type {
  PermitAsk,
  PermitDecision,
} from "@sassafrasstage/protocol/permits";

/** Where the ask stands. */
export type AskProgress =
  /** To be sent when `sendAtMs` is reached. */
  | { readonly kind: "unsent"; readonly sendAtMs: number }
  | {
    readonly kind: "sent";
    readonly owner: VmId;
    /** Names this one sending; no other sending's decision counts. */
    readonly sendingId: AttemptId;
    readonly sentAtMs: number;
  };

export interface PendingAsk {
  readonly ask: PermitAsk;
  readonly askedAtMs: number;
  readonly latestStartAtMs: number;
  readonly deadlineAtMs: number;
  readonly settle: (decision: PermitDecision) => void;
  progress: AskProgress;
  /** The pool's owner, and since when this ask has been for it. */
  owner: VmId | undefined;
  ownerSinceMs: number;
}

export interface NewAsk {
  readonly ask: PermitAsk;
  readonly settle: (decision: PermitDecision) => void;
}

/**
 * Starts the times of an ask: they count from its first sending.
 *
 * @example
 * ```ts
 * const pending = startAsk({ ask, settle }, nowMs);
 * ```
 */
export function startAsk(newAsk: NewAsk, nowMs: number): PendingAsk {
  return {
    ...newAsk,
    askedAtMs: nowMs,
    latestStartAtMs: nowMs + newAsk.ask.latestStartInMs,
    deadlineAtMs: nowMs + newAsk.ask.deadlineInMs,
    progress: { kind: "unsent", sendAtMs: nowMs },
    owner: undefined,
    ownerSinceMs: nowMs,
  };
}

/**
 * The ask as it goes out now, under the id of this sending.
 *
 * @example
 * ```ts
 * link.send(owner, { type: "permitAsk", ask: askToSend(pending, { id, nowMs }) });
 * ```
 */
export function askToSend(
  pending: PendingAsk,
  sending: { readonly id: AttemptId; readonly nowMs: number },
): PermitAsk {
  return {
    ...pending.ask,
    attemptId: sending.id,
    latestStartInMs: pending.latestStartAtMs - sending.nowMs,
    deadlineInMs: pending.deadlineAtMs - sending.nowMs,
  };
}
