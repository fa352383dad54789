/**
 * At most one run for each `Idempotency-Key`.
 *
 * @module
 */

import type {
  ClaimKey,
  ClaimOutcome,
  RecordedAnswer,
} from "@sassafrasstage/protocol/claims";
import type { AttemptId } from "@sassafrasstage/protocol/ids";

export interface ClaimRequest {
  readonly key: ClaimKey;
  readonly contentSha256: string;
  readonly attemptId: AttemptId;
  /** Monotonic time after which the answer is of no use. */
  readonly deadlineAtMs: number;
}

/** A claim that this process made and nobody else can make. */
export interface HeldClaim {
  readonly key: ClaimKey;
  readonly attemptId: AttemptId;
}

export type ClaimDecision =
  /** The platform has recorded the claim as ours: the request may be sent. */
  | { readonly kind: "held"; readonly claim: HeldClaim }
  /** An earlier request with the key was answered with this. */
  | { readonly kind: "answered"; readonly answer: RecordedAnswer }
  /** An earlier request with the key may have run. */
  | { readonly kind: "outcomeUnknown" }
  /** The key was used for another pipeline or body. */
  | { readonly kind: "otherContent" }
  /** No claim was made, and none can be made now: nothing has run. */
  | {
    readonly kind: "unavailable";
    readonly detail: string;
    readonly retryAfterMs: number;
  };

export interface ClaimStore {
  /**
   * Claims the key, or waits (until the deadline) for the outcome of the one
   * that holds it. Never rejects.
   */
  claim(request: ClaimRequest, signal: AbortSignal): Promise<ClaimDecision>;
  /**
   * Records how the claimed request ended. "notRun" frees the key. Resolves
   * when recorded, or false when it can't be recorded before the deadline; the
   * keeper goes on trying in the background until shutdown.
   */
  recordOutcome(claim: HeldClaim, outcome: ClaimOutcome): Promise<boolean>;
  /** Waits until all outcomes are recorded, at most for the given time. */
  flush(timeoutMs: number): Promise<void>;
}
