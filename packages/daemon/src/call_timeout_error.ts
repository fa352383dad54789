/**
 * The reason with which a call's signal aborts when its time is over.
 *
 * @module
 */

/** Tells a deadline from a caller that went away. */
export class CallTimeoutError extends Error {
  override readonly name = "CallTimeoutError";
}
