/**
 * Permit decisions that refuse.
 *
 * @module
 */

import type { PermitDecision } from "@sassafrasstage/protocol/permits";
import type { ProblemReason } from "@sassafrasstage/protocol/problems";

/**
 * Builds a decision that refuses a permit.
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
