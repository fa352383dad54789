/**
 * Which answers are kept for repeats of their key.
 *
 * @module
 */

import type {
  ClaimOutcome,
  RecordedAnswer,
} from "@sassafrasstage/protocol/claims";
import { makeProblem } from "@sassafrasstage/protocol/problems";

/** Larger answers are not kept, only that there was one. */
export const MAX_KEPT_ANSWER_BYTES = 16_384;

/**
 * The outcome as it is recorded: an answer that is too large is replaced by one
 * that says so. The key stays taken.
 *
 * @example
 * ```ts
 * const kept = toKeptOutcome({ kind: "answered", answer });
 * ```
 */
export function toKeptOutcome(outcome: ClaimOutcome): ClaimOutcome {
  if (outcome.kind !== "answered") return outcome;
  const bytes = Buffer.byteLength(outcome.answer.body);
  if (bytes <= MAX_KEPT_ANSWER_BYTES) return outcome;
  return { kind: "answered", answer: describeLostAnswer(bytes) };
}

function describeLostAnswer(bytes: number): RecordedAnswer {
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
