/**
 * Claims: the record, in the platform's object API, that one request with an
 * `Idempotency-Key` is being run or has been run.
 *
 * @module
 */

import type { AttemptId, ClientAccountId } from "./ids.js";

/** Names one claim. */
export interface ClaimKey {
  readonly clientAccountId: ClientAccountId;
  /** The caller's `Idempotency-Key`. */
  readonly idempotencyKey: string;
}

/** A whole answer that can be given again. */
export interface RecordedAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

export type ClaimOutcome =
  | { readonly kind: "answered"; readonly answer: RecordedAnswer }
  /** Proved never to have been sent: the key may be claimed again. */
  | { readonly kind: "notRun" }
  /** It may have run; it is never sent again. */
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
