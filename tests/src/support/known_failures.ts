/**
 * Reads KNOWN-RED.txt, the list of known failures that aren't fixed yet.
 *
 * @module
 */

/** One line of KNOWN-RED.txt. */
export interface KnownFailure {
  /** The last part of the test file's path, without its extension. */
  readonly file: string;
  readonly name: string;
  /** The whole line, including command, seed, observation and issue. */
  readonly text: string;
}

/** A failed test as the test runner reports it. */
export interface FailedTest {
  readonly file: string;
  readonly name: string;
}

/**
 * Reads lines of the form `file | test | command and seed | seen | issue`.
 * Empty lines and lines that start with `#` are ignored.
 *
 * @example
 * ```ts
 * const knownFailures = parseKnownFailures(readFileSync("KNOWN-RED.txt", "utf8"));
 * ```
 */
export function parseKnownFailures(text: string): KnownFailure[] {
  return text.split("\n")
    .map((line) => line.trim())
    .filter((line) => line !== "" && !line.startsWith("#"))
    .map((line) => {
      const [file, name] = line.split("|").map((part) => part.trim());
      if (file === undefined || name === undefined) {
        throw new Error(`Expected "file | test | …" in "${line}"`);
      }
      return { file, name, text: line };
    });
}

/** Returns the entry that lists the failed test, if there is one. */
export function findKnownFailure(
  entries: readonly KnownFailure[],
  failed: FailedTest,
): KnownFailure | undefined {
  return entries.find((entry) =>
    entry.name === failed.name && failed.file.endsWith(`/${entry.file}.js`)
  );
}
