/**
 * Limits the size of the answers that are stored for repeats of their key.
 *
 * @module
 */

import type {
  ClaimOutcome,
  RecordedAnswer,
} from "@sassafrasstage/protocol/claims";
import { makeProblem } from "@sassafrasstage/protocol/problems";

/** Larger answers are not stored, only the fact that there was one. */
export const MAX_STORED_ANSWER_BYTES = 16_384;

/**
 * Returns the outcome to record. An answer that is too large is replaced by a
 * problem that says so, and the key stays claimed.
 *
 * @example
 * ```ts
 * const stored = toStoredOutcome({ kind: "answered", answer });
 * ```
 */
export function toStoredOutcome(outcome: ClaimOutcome): ClaimOutcome {
  if (outcome.kind !== "answered") return outcome;
  const bytes = Buffer.byteLength(outcome.answer.body);
  if (bytes <= MAX_STORED_ANSWER_BYTES) return outcome;
  return { kind: "answered", answer: makeTooLargeAnswer(bytes) };
}

function makeTooLargeAnswer(bytes: number): RecordedAnswer {
  const problem = makeProblem("outcomeUnknown", {
    detail: "The request with this key has run and was answered. " +
      `Its answer of ${bytes} bytes was too large to be kept`,
    notRun: false,
  });
  return {
    status: problem.status,
    contentType: "application/problem+json",
    body: JSON.stringify(problem),
  };
}
