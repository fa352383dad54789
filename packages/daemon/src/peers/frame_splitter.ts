/**
 * Splits a byte stream into frame payloads.
 *
 * @module
 */

import { GrowingBuffer } from "../memory/growing_buffer.js";
import { FRAME_HEADER_BYTES } from "./frame_codec.js";
import { PeerError } from "./peer_error.js";

/**
 * Buffers chunks until a frame is complete.
 *
 * @example
 * ```ts
 * const splitter = new FrameSplitter(MAX_FRAME_BYTES);
 * splitter.push(chunk);
 * for (let p = splitter.next(); p; p = splitter.next()) handle(p);
 * ```
 */
export class FrameSplitter {
  /** Maximum accepted payload size; may be changed between frames. */
  maxPayloadBytes: number;
  /**
   * Received after `#data`. Joined to it only when there are enough bytes for
   * the next header or frame.
   */
  readonly #rest = new GrowingBuffer();
  #data: Buffer = Buffer.alloc(0);
  #bufferedBytes = 0;
  #neededBytes = FRAME_HEADER_BYTES;

  constructor(maxPayloadBytes: number) {
    this.maxPayloadBytes = maxPayloadBytes;
  }

  /** Received bytes that are not part of a returned payload. */
  get bufferedBytes(): number {
    return this.#bufferedBytes;
  }

  push(chunk: Buffer): void {
    this.#bufferedBytes += chunk.length;
    if (this.#data.length === 0 && this.#rest.length === 0) {
      this.#data = chunk;
    } else this.#rest.append(chunk);
  }

  /**
   * Returns the next complete payload, or `undefined` if more bytes are needed.
   * Throws a `PeerError` if the length prefix is zero or above the limit.
   */
  next(): Buffer | undefined {
    if (this.#bufferedBytes < this.#neededBytes) return undefined;
    this.#joinChunks();
    const frameBytes = FRAME_HEADER_BYTES + this.#readPayloadBytes();
    if (this.#bufferedBytes < frameBytes) {
      this.#neededBytes = frameBytes;
      return undefined;
    }
    const payload = this.#data.subarray(FRAME_HEADER_BYTES, frameBytes);
    this.#data = this.#data.subarray(frameBytes);
    this.#bufferedBytes -= frameBytes;
    this.#neededBytes = FRAME_HEADER_BYTES;
    return payload;
  }

  /** Called at the end of the stream; throws if a frame is incomplete. */
  finish(): void {
    if (this.#bufferedBytes === 0) return;
    throw new PeerError("badFrame", "The stream ended inside a frame");
  }

  #joinChunks(): void {
    if (this.#rest.length === 0) return;
    const rest = this.#rest.take();
    this.#data = this.#data.length === 0
      ? rest
      : Buffer.concat([this.#data, rest]);
  }

  #readPayloadBytes(): number {
    const payloadBytes = this.#data.readUInt32BE(0);
    if (payloadBytes === 0) {
      throw new PeerError("badFrame", "The frame is empty");
    }
    if (payloadBytes > this.maxPayloadBytes) {
      throw new PeerError(
        "badFrame",
        `The frame has ${payloadBytes} bytes; limit: ${this.maxPayloadBytes}`,
      );
    }
    return payloadBytes;
  }
}
