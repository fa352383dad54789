/**
 * Errors of the configuration layer.
 *
 * @module
 */

export type ConfigurationErrorKind =
  /** The platform could not be reached. */
  | "unreachable"
  /** A stored head or part is missing, replaced or malformed. */
  | "unreadable";

/** Thrown when a complete configuration could not be read. */
export class ConfigurationError extends Error {
  override readonly name = "ConfigurationError";
  readonly kind: ConfigurationErrorKind;

  constructor(
    kind: ConfigurationErrorKind,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
    this.kind = kind;
  }
}
