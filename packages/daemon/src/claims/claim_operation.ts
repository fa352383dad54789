/**
 * Operations on the claims of a partition, and their results.
 *
 * @module
 */

import type {
  ClaimKey,
  ClaimOutcome,
  ClaimRecord,
} from "@sassafrasstage/protocol/claims";
import type { AttemptId } from "@sassafrasstage/protocol/ids";
import type { ClaimReply } from "@sassafrasstage/protocol/peer_messages";
import type { ClaimHash } from "./claim_hash.js";

/** Claims a key that has no claim yet. */
export interface ClaimOperation {
  readonly kind: "claim";
  readonly hash: ClaimHash;
  readonly record: ClaimRecord;
  /** Monotonic time after which the operation is not started. */
  readonly expiresAtMs: number;
}

/** Records how the attempt that holds the claim ended. */
export interface SettleOperation {
  readonly kind: "settle";
  readonly key: ClaimKey;
  readonly hash: ClaimHash;
  readonly attemptId: AttemptId;
  readonly outcome: ClaimOutcome;
  readonly expiresAtMs: number;
}

export type Operation = ClaimOperation | SettleOperation;

export type OperationResult = ClaimReply | { readonly kind: "recorded" };

export const UNAVAILABLE = { kind: "unavailable" } as const;
