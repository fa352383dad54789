/**
 * What is asked of the keeper of a partition.
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

/** Makes a claim unless the key has one. */
export interface ClaimOperation {
  readonly kind: "claim";
  readonly hash: ClaimHash;
  readonly record: ClaimRecord;
  /** Not begun after that. */
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
