/**
 * Reads a request body of limited size.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";

export type BodyResult =
  | { readonly kind: "read"; readonly text: string }
  | { readonly kind: "tooLarge" }
  /** The client disconnected before the end of the body. */
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
  const declaredBytes = Number(request.headers["content-length"] ?? 0);
  if (declaredBytes > maxBytes) return { kind: "tooLarge" };
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
