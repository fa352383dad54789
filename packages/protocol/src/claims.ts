/**
 * Claims. A claim is a record in the platform's object API which states that a
 * request with an `Idempotency-Key` is running or has run.
 *
 * @module
 */

import type { AttemptId, ClientAccountId } from "./ids.js";

/** Identifies one claim. */
export interface ClaimKey {
  readonly clientAccountId: ClientAccountId;
  /** The caller's `Idempotency-Key`. */
  readonly idempotencyKey: string;
}

/** A complete response, stored so that it can be sent again. */
export interface RecordedAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

export type ClaimOutcome =
  | { readonly kind: "answered"; readonly answer: RecordedAnswer }
  /** The request was provably never sent; the key may be claimed again. */
  | { readonly kind: "notRun" }
  /** The request may have run; it is never sent again. */
  | { readonly kind: "unknown" };

/** A claim as it is stored. */
export interface ClaimRecord {
  readonly key: ClaimKey;
  /** SHA-256 of pipeline and body. */
  readonly contentSha256: string;
  readonly attemptId: AttemptId;
  /** The incarnation that made the claim, as "vmId/incarnation". */
  readonly holder: string;
  readonly state: "running" | "answered" | "unknown";
  readonly answer?: RecordedAnswer;
}
