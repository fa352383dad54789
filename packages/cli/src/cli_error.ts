/**
 * The ways in which a command can fail, and their exit codes.
 *
 * @module
 */

export const EXIT_CODES = {
  done: 0,
  refused: 1,
  badUsage: 2,
  unreachable: 3,
  conflict: 4,
  waitTimedOut: 5,
} as const;

export type Failure = Exclude<keyof typeof EXIT_CODES, "done">;
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];

/** An error that ends the command with a message and an exit code. */
export class CliError extends Error {
  override readonly name = "CliError";
  readonly failure: Failure;

  constructor(failure: Failure, message: string, options?: ErrorOptions) {
    super(message, options);
    this.failure = failure;
  }

  get exitCode(): ExitCode {
    return EXIT_CODES[this.failure];
  }
}
