/**
 * What stand-in backend servers answer: pure functions of the input, so that a
 * test can tell whose answer it holds. A marker such as "<<request-17>>" in an
 * input goes through every stage into the output.
 *
 * @module
 */

import { createHash } from "node:crypto";

const MARKER_PATTERN = /<<[\w.:-]+>>/;
const DIGEST_LENGTH = 12;

/** Marks an input so that the answer can be told from all others. */
export function makeMarker(name: string): string {
  return `<<${name}>>`;
}

/** The first marker in a value. */
export function findMarker(value: unknown): string | undefined {
  const text = typeof value === "string" ? value : JSON.stringify(value);
  return MARKER_PATTERN.exec(text)?.[0];
}

/** The output of a plain service's idempotent operation. */
export interface PlainOutput {
  readonly operation: string;
  readonly about: string;
  readonly digest: string;
}

/**
 * The output of a plain service for an input.
 *
 * @example
 * ```ts
 * expectedPlainOutput("encode", "<<a>> text").about; // "<<a>>"
 * ```
 */
export function expectedPlainOutput(
  operation: string,
  input: unknown,
): PlainOutput {
  return {
    operation,
    about: findMarker(input) ?? "",
    digest: digestOf(`${operation}:${JSON.stringify(input)}`),
  };
}

/**
 * The tokens that a stand-in engine generates for a prompt. A smaller
 * `maxTokens` gives a prefix of the same tokens.
 *
 * @example
 * ```ts
 * expectedTokens("<<a>> Describe the coin", 3).join("");
 * ```
 */
export function expectedTokens(prompt: string, maxTokens: number): string[] {
  const promptDigest = digestOf(prompt);
  const tokens = [findMarker(prompt) ?? promptDigest];
  for (let index = 1; index < maxTokens; index++) {
    tokens.push(` ${promptDigest.slice(0, 6)}.${index}`);
  }
  return tokens;
}

/** The whole text for a prompt. */
export function expectedText(prompt: string, maxTokens: number): string {
  return expectedTokens(prompt, maxTokens).join("");
}

function digestOf(text: string): string {
  return createHash("sha256").update(text).digest("hex").slice(
    0,
    DIGEST_LENGTH,
  );
}
