/**
 * The abort reason of a call that exceeds its time limit.
 *
 * @module
 */

/** Distinguishes an exceeded time limit from a caller that disconnected. */
export class CallTimeoutError extends Error {
  override readonly name = "CallTimeoutError";
}
