/**
 * Turns what the HTTP library throws, and what a server answers, into failed
 * calls.
 *
 * @module
 */

import { CallTimeoutError } from "../call_timeout_error.js";
import { CallNotStartedError } from "./start_gate.js";
import type { FailedCall } from "./stage_call.js";

const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

const REFUSAL_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/**
 * Classifies an exception of a call. Only errors of connecting prove that
 * nothing was sent.
 *
 * @example
 * ```ts
 * const failed = failureOfError(error, signal);
 * ```
 */
export function failureOfError(
  error: unknown,
  signal: AbortSignal,
): FailedCall {
  if (error instanceof CallNotStartedError) return failureOfGate(error);
  if (signal.aborted) return failureOfAbort(signal);
  const detail = error instanceof Error ? error.message : String(error);
  const isConnectError = CONNECT_ERROR_CODES.has(findErrorCode(error) ?? "");
  return {
    kind: "failed",
    cause: isConnectError ? "connectFailed" : "failed",
    detail,
    mayHaveRun: !isConnectError,
  };
}

/** Classifies an answer whose status is not 200. */
export function failureOfStatus(status: number): FailedCall {
  return {
    kind: "failed",
    cause: REFUSAL_STATUSES.has(status) ? "refusedByServer" : "failed",
    detail: `The backend server answered with status ${status}`,
    mayHaveRun: true,
  };
}

/** The answer carries another attempt's id. */
export function foreignResult(seen: string): FailedCall {
  return {
    kind: "failed",
    cause: "foreignResult",
    detail: `The answer is for "${seen.slice(0, 80)}"`,
    mayHaveRun: true,
  };
}

function failureOfGate(error: CallNotStartedError): FailedCall {
  return {
    kind: "failed",
    cause: "connectFailed",
    detail: error.message,
    mayHaveRun: false,
  };
}

function failureOfAbort(signal: AbortSignal): FailedCall {
  const isTimeout = signal.reason instanceof CallTimeoutError;
  return {
    kind: "failed",
    cause: isTimeout ? "timedOut" : "canceled",
    detail: isTimeout
      ? "The time for the call is over"
      : "The call was canceled",
    mayHaveRun: true,
  };
}

function findErrorCode(error: unknown): string | undefined {
  if (typeof error !== "object" || error === null) return undefined;
  if ("code" in error && typeof error.code === "string") return error.code;
  return "cause" in error ? findErrorCode(error.cause) : undefined;
}
