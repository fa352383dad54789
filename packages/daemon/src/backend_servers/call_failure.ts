/**
 * Converts errors of the HTTP client and unusable responses into `FailedCall`
 * results.
 *
 * @module
 */

import { CallTimeoutError } from "../call_timeout_error.js";
import { CallNotStartedError } from "./start_check.js";
import type { FailedCall } from "./stage_call.js";

const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

const REFUSAL_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/**
 * Classifies an error thrown during a call. Only a connection error or a failed
 * start check proves that nothing was sent.
 *
 * @example
 * ```ts
 * const failed = failureFromError(error, signal);
 * ```
 */
export function failureFromError(
  error: unknown,
  signal: AbortSignal,
): FailedCall {
  if (error instanceof CallNotStartedError) return failureFromStartCheck(error);
  if (signal.aborted) return failureFromAbort(signal);
  const detail = error instanceof Error ? error.message : String(error);
  const isConnectError = CONNECT_ERROR_CODES.has(findErrorCode(error) ?? "");
  return {
    kind: "failed",
    cause: isConnectError ? "connectFailed" : "failed",
    detail,
    mayHaveRun: !isConnectError,
  };
}

/** Classifies a response whose status is not 200. */
export function failureFromStatus(status: number): FailedCall {
  return {
    kind: "failed",
    cause: REFUSAL_STATUSES.has(status) ? "refusedByServer" : "failed",
    detail: `The backend server answered with status ${status}`,
    mayHaveRun: true,
  };
}

/** The response carries the id of another attempt. */
export function failureFromWrongId(receivedId: string): FailedCall {
  return {
    kind: "failed",
    cause: "foreignResult",
    detail: `The answer is for "${receivedId.slice(0, 80)}"`,
    mayHaveRun: true,
  };
}

function failureFromStartCheck(error: CallNotStartedError): FailedCall {
  return {
    kind: "failed",
    cause: "connectFailed",
    detail: error.message,
    mayHaveRun: false,
  };
}

function failureFromAbort(signal: AbortSignal): FailedCall {
  const isTimeout = signal.reason instanceof CallTimeoutError;
  return {
    kind: "failed",
    cause: isTimeout ? "timedOut" : "canceled",
    detail: isTimeout ? "The call timed out" : "The call was canceled",
    mayHaveRun: true,
  };
}

function findErrorCode(error: unknown): string | undefined {
  if (typeof error !== "object" || error === null) return undefined;
  if ("code" in error && typeof error.code === "string") return error.code;
  return "cause" in error ? findErrorCode(error.cause) : undefined;
}
