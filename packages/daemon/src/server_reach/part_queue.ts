/**
 * Queues parts of a response in few blocks, however small the parts are.
 *
 * @module
 */

import { GrowingBuffer } from "../memory/growing_buffer.js";
import { MAX_RELAYED_CHUNK_BYTES } from "./relayed_call_limits.js";

/** Larger parts are kept as they are. */
const MAX_JOINED_PART_BYTES = MAX_RELAYED_CHUNK_BYTES / 4;

/**
 * Joins small parts that wait behind others.
 *
 * @example
 * ```ts
 * for (const part of splitChunk(chunk)) queue.push(part);
 * for (let p = queue.shift(); p !== undefined; p = queue.shift()) send(p);
 * ```
 */
export class PartQueue {
  readonly #parts: Buffer[] = [];
  readonly #joined = new GrowingBuffer(MAX_RELAYED_CHUNK_BYTES);
  #bytes = 0;

  get bytes(): number {
    return this.#bytes;
  }

  /** Number of blocks of memory that are held. */
  get blocks(): number {
    return this.#parts.length + (this.#joined.length > 0 ? 1 : 0);
  }

  push(part: Buffer): void {
    const joinedBytes = this.#joined.length + part.length;
    if (joinedBytes > MAX_RELAYED_CHUNK_BYTES) this.#endJoined();
    if (this.blocks === 0 || part.length > MAX_JOINED_PART_BYTES) {
      this.#endJoined();
      this.#parts.push(part);
    } else this.#joined.append(part);
    this.#bytes += part.length;
  }

  shift(): Buffer | undefined {
    if (this.#parts.length === 0) this.#endJoined();
    const part = this.#parts.shift();
    this.#bytes -= part?.length ?? 0;
    return part;
  }

  clear(): void {
    this.#parts.length = 0;
    this.#joined.take();
    this.#bytes = 0;
  }

  #endJoined(): void {
    if (this.#joined.length > 0) this.#parts.push(this.#joined.take());
  }
}
