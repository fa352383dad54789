/**
 * Outputs of stand-in backend servers, as pure functions of the input, so that
 * a test can tell which request an answer belongs to. A marker such as
 * "<<request-17>>" in an input is copied into the output of every stage.
 *
 * @module
 */

import { createHash } from "node:crypto";

const MARKER_PATTERN = /<<[\w.:-]+>>/;
const DIGEST_LENGTH = 12;

/** Makes a marker that identifies the answer to an input. */
export function makeMarker(name: string): string {
  return `<<${name}>>`;
}

/** Finds the first marker in a value. */
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
 * Computes the output of a plain service for an input.
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
 * Computes the tokens that a stand-in engine generates for a prompt. A smaller
 * `maxTokens` results in a prefix of the same tokens.
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

/** Computes the complete text that a stand-in engine generates for a prompt. */
export function expectedText(prompt: string, maxTokens: number): string {
  return expectedTokens(prompt, maxTokens).join("");
}

function digestOf(text: string): string {
  return createHash("sha256").update(text).digest("hex").slice(
    0,
    DIGEST_LENGTH,
  );
}
