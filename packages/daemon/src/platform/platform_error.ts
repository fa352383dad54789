/**
 * Errors of the platform layer.
 *
 * @module
 */

export type PlatformErrorKind =
  /** The call can't have taken effect. */
  | "notDone"
  /** The call may have taken effect: read the object to find out. */
  | "outcomeUnknown";

/** A call to the platform that failed or got no valid response. */
export class PlatformError extends Error {
  override readonly name = "PlatformError";
  readonly kind: PlatformErrorKind;

  constructor(
    kind: PlatformErrorKind,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
    this.kind = kind;
  }
}
