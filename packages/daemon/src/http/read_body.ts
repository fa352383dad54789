/**
 * Reads a request's body with a bound on its size.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";

export type BodyResult =
  | { readonly kind: "read"; readonly text: string }
  | { readonly kind: "tooLarge" }
  /** The caller went away before the end. */
  | { readonly kind: "broken" };

/**
 * @example
 * ```ts
 * const body = await readBody(request, 1_000_000);
 * ```
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<BodyResult> {
  const announcedBytes = Number(request.headers["content-length"] ?? 0);
  if (announcedBytes > maxBytes) return { kind: "tooLarge" };
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of request) {
      const buffer = chunk as Buffer;
      bytes += buffer.byteLength;
      if (bytes > maxBytes) return { kind: "tooLarge" };
      chunks.push(buffer);
    }
  } catch {
    return { kind: "broken" };
  }
  return { kind: "read", text: Buffer.concat(chunks).toString("utf8") };
}
