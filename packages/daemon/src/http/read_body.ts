/**
 * Reads a request body of limited size.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { GrowingBuffer } from "../memory/growing_buffer.js";
import { ConnectionReads } from "./connection_reads.js";
import { createSmallChunkLimiter } from "./small_chunk_limiter.js";

export type BodyResult =
  | { readonly kind: "read"; readonly text: string }
  | { readonly kind: "tooLarge" }
  /** The client disconnected before the end of the body. */
  | { readonly kind: "broken" };

/** Of the connections that send bodies to the daemon's own interfaces. */
const READS = new ConnectionReads(
  createSmallChunkLimiter(() => performance.now()),
);

/**
 * @example
 * ```ts
 * const body = await readBody(request, 1_000_000);
 * ```
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<BodyResult> {
  const declaredBytes = Number(request.headers["content-length"] ?? 0);
  if (declaredBytes > maxBytes) return Promise.resolve({ kind: "tooLarge" });
  const connection = READS.of(request.socket);
  const body = new GrowingBuffer(declaredBytes > 0 ? declaredBytes : maxBytes);
  return new Promise((resolve) => {
    let isSettled = false;
    function settle(result: BodyResult): void {
      isSettled = true;
      body.take();
      resolve(result);
    }
    request.on("data", (chunk: Buffer) => {
      connection.countChunk(chunk.length);
      if (isSettled) return;
      if (body.length + chunk.length > maxBytes) settle({ kind: "tooLarge" });
      else body.append(chunk);
    });
    request.once("end", () => {
      settle({ kind: "read", text: body.take().toString("utf8") });
    });
    request.on("error", () => {
      settle({ kind: "broken" });
    });
    request.once("close", () => {
      settle({ kind: "broken" });
    });
  });
}
