/**
 * Builds refusals whose `notRun` reflects whether a call may have been sent.
 *
 * @module
 */

import type { ProblemReason } from "@sassafrasstage/protocol/problems";
import type { Refusal } from "./pipeline_request.js";
import type { RequestLifetime } from "./request_lifetime.js";

export interface RefusalDetails {
  readonly reason: ProblemReason;
  readonly detail: string;
  readonly retryAfterMs?: number;
}

/**
 * @example
 * ```ts
 * return refuse(lifetime, { reason: "queueFull", detail: "…", retryAfterMs: 250 });
 * ```
 */
export function refuse(
  lifetime: RequestLifetime,
  details: RefusalDetails,
): Refusal {
  const refusal: Refusal = {
    kind: "refused",
    reason: details.reason,
    detail: details.detail,
    notRun: !lifetime.mayHaveRun,
  };
  if (details.retryAfterMs === undefined) return refusal;
  return { ...refusal, retryAfterMs: details.retryAfterMs };
}

/** Refuses a request whose deadline passed or whose caller disconnected. */
export function refuseAborted(lifetime: RequestLifetime): Refusal {
  if (lifetime.deadlineSignal.aborted) {
    return refuse(lifetime, {
      reason: "deadlineExceeded",
      detail: "The deadline has passed",
    });
  }
  return refuse(lifetime, {
    reason: "callerDisconnected",
    detail: "The caller has gone away",
  });
}
