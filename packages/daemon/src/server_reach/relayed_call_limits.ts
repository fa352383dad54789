/**
 * Limits of calls that a VM makes for another one; both sides keep to them.
 *
 * @module
 */

/** Keeps a frame from delaying heartbeats on the same connection. */
export const MAX_RELAYED_CHUNK_BYTES = 16 * 1024;
/** Bytes of a response that may be unacknowledged. */
export const RELAY_WINDOW_BYTES = 32 * 1024;
export const MAX_RELAYED_BODY_BYTES = 4 * 1024 * 1024;
/** Bytes of a response that wait at the VM that makes the call. */
export const MAX_RELAY_BACKLOG_BYTES = 4 * 1024 * 1024;
export const MAX_RELAYED_CALLS = 128;
export const MAX_RELAYED_CALLS_PER_VM = 64;

/**
 * Splits data into parts that fit into a frame.
 *
 * @example
 * ```ts
 * for (const part of splitChunk(body)) send(part);
 * ```
 */
export function splitChunk(data: Buffer): Buffer[] {
  const parts: Buffer[] = [];
  for (let at = 0; at < data.length; at += MAX_RELAYED_CHUNK_BYTES) {
    parts.push(data.subarray(at, at + MAX_RELAYED_CHUNK_BYTES));
  }
  return parts;
}
