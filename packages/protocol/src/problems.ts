/**
 * Error responses to clients and operators: `application/problem+json`
 * (RFC 9457) with a reason from a closed set.
 *
 * @module
 */

/** All reasons for which a request is refused or fails. */
export const PROBLEM_REASONS = [
  "malformedRequest",
  "bodyTooLarge",
  "unknownPipeline",
  "unauthorized",
  "impossibleDeadline",
  "notReady",
  "shuttingDown",
  "deadlineWouldBeMissed",
  "deadlineExceeded",
  "noCapacity",
  "queueFull",
  "shareExceeded",
  "noBackendServer",
  "backendServerFailed",
  "retryBudgetSpent",
  "claimsUnavailable",
  "outcomeUnknown",
  "keyReusedWithOtherContent",
  "callerDisconnected",
  "invalidConfiguration",
  "configurationConflict",
  "platformUnavailable",
  "notFound",
  "internalError",
] as const;

export type ProblemReason = (typeof PROBLEM_REASONS)[number];

/** The HTTP status of each reason. */
export const PROBLEM_STATUS: Readonly<Record<ProblemReason, number>> = {
  malformedRequest: 400,
  bodyTooLarge: 413,
  unknownPipeline: 404,
  unauthorized: 401,
  impossibleDeadline: 400,
  notReady: 503,
  shuttingDown: 503,
  deadlineWouldBeMissed: 503,
  deadlineExceeded: 504,
  noCapacity: 503,
  queueFull: 503,
  shareExceeded: 429,
  noBackendServer: 503,
  backendServerFailed: 502,
  retryBudgetSpent: 503,
  claimsUnavailable: 503,
  outcomeUnknown: 502,
  keyReusedWithOtherContent: 422,
  callerDisconnected: 499,
  invalidConfiguration: 422,
  configurationConflict: 409,
  platformUnavailable: 503,
  notFound: 404,
  internalError: 500,
};

/** The body of an error response. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly reason: ProblemReason;
  /** True only if no non-idempotent call of the request can have run. */
  readonly notRun: boolean;
  /**
   * How long to wait before a retry; also sent as `Retry-After`, in seconds.
   */
  readonly retryAfterMs?: number;
}

export interface ProblemDetails {
  readonly detail: string;
  readonly notRun: boolean;
  readonly retryAfterMs?: number;
}

/**
 * Builds the body of an error response.
 *
 * @example
 * ```ts
 * makeProblem("queueFull", { detail: "…", notRun: true, retryAfterMs: 250 });
 * ```
 */
export function makeProblem(
  reason: ProblemReason,
  details: ProblemDetails,
): Problem {
  return {
    type: `urn:sassafrasstage:problem:${reason}`,
    title: reason,
    status: PROBLEM_STATUS[reason],
    reason,
    ...details,
  };
}
