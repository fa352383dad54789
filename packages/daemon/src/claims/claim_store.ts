/**
 * Interface of the claim store, which ensures that a request with an
 * `Idempotency-Key` runs at most once.
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
  /** Monotonic time after which the caller no longer needs the answer. */
  readonly deadlineAtMs: number;
}

/** A claim that this process holds exclusively. */
export interface HeldClaim {
  readonly key: ClaimKey;
  readonly attemptId: AttemptId;
}

export type ClaimDecision =
  /** The claim is recorded for this process: the request may be sent. */
  | { readonly kind: "held"; readonly claim: HeldClaim }
  /** An earlier request with the key received this answer. */
  | { readonly kind: "answered"; readonly answer: RecordedAnswer }
  /** An earlier request with the key may have run. */
  | { readonly kind: "outcomeUnknown" }
  /** The key was used with another pipeline or body. */
  | { readonly kind: "otherContent" }
  /** No claim was made, and none can be made now; nothing has run. */
  | {
    readonly kind: "unavailable";
    readonly detail: string;
    readonly retryAfterMs: number;
  };

export interface ClaimStore {
  /**
   * Claims the key, or waits until the deadline for the outcome of the request
   * that holds it. Never rejects.
   */
  claim(request: ClaimRequest, signal: AbortSignal): Promise<ClaimDecision>;
  /**
   * Records how the claimed request ended. "notRun" frees the key. Resolves to
   * true when recorded, or to false if it is not recorded by the deadline; the
   * store then keeps retrying in the background until shutdown.
   */
  recordOutcome(claim: HeldClaim, outcome: ClaimOutcome): Promise<boolean>;
  /** Waits up to `timeoutMs` for all outcomes to be recorded. */
  flush(timeoutMs: number): Promise<void>;
}
