/**
 * Which status codes a response may have.
 *
 * @module
 */

const FIRST_INFORMATIONAL_STATUS = 100;
const FIRST_FINAL_STATUS = 200;
const FIRST_INVALID_STATUS = 600;

export type StatusKind =
  /** Another response to the same request follows. */
  | "informational"
  | "final"
  /** Not a status of HTTP, so what has it is no response. */
  | "invalid";

/**
 * Tells whether a response with the status is an answer.
 *
 * @example
 * ```ts
 * kindOfStatus(103); // "informational"
 * kindOfStatus(0); // "invalid"
 * ```
 */
export function kindOfStatus(status: number): StatusKind {
  const isValid = status >= FIRST_INFORMATIONAL_STATUS &&
    status < FIRST_INVALID_STATUS;
  if (!isValid) return "invalid";
  return status < FIRST_FINAL_STATUS ? "informational" : "final";
}
