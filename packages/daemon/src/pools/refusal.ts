/**
 * Creates refusals of permit requests.
 *
 * @module
 */

import type { PermitDecision } from "@sassafrasstage/protocol/permits";
import type { ProblemReason } from "@sassafrasstage/protocol/problems";

/**
 * Creates a decision that refuses a permit request.
 *
 * @example
 * ```ts
 * refusal("queueFull", "The pool's queue is full", 250);
 * ```
 */
export function refusal(
  reason: ProblemReason,
  detail: string,
  retryAfterMs: number,
): PermitDecision {
  return { kind: "refused", reason, detail, retryAfterMs };
}
