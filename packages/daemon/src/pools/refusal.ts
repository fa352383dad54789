/**
 * Refusals of permits.
 *
 * @module
 */

import type { PermitDecision } from "@sassafrasstage/protocol/permits";
import type { ProblemReason } from "@sassafrasstage/protocol/problems";

/**
 * Builds a refusal.
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
