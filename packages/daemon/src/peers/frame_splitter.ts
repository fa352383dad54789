/**
 * Cuts a stream of bytes into the payloads of frames.
 *
 * @module
 */

import { FRAME_HEADER_BYTES } from "./frame_codec.js";
import { PeerError } from "./peer_error.js";

/**
 * Collects chunks until a frame is whole.
 *
 * @example
 * ```ts
 * const splitter = new FrameSplitter(MAX_FRAME_BYTES);
 * splitter.push(chunk);
 * for (let p = splitter.next(); p; p = splitter.next()) handle(p);
 * ```
 */
export class FrameSplitter {
  /** The largest payload that is taken; may be changed between frames. */
  maxPayloadBytes: number;
  /** What came after `#data`, joined only when a frame can be whole. */
  #chunks: Buffer[] = [];
  #data: Buffer = Buffer.alloc(0);
  #bufferedBytes = 0;
  #neededBytes = FRAME_HEADER_BYTES;

  constructor(maxPayloadBytes: number) {
    this.maxPayloadBytes = maxPayloadBytes;
  }

  push(chunk: Buffer): void {
    this.#bufferedBytes += chunk.length;
    if (this.#data.length === 0 && this.#chunks.length === 0) {
      this.#data = chunk;
    } else {
      this.#chunks.push(chunk);
    }
  }

  /** The next whole payload, or `undefined` until more bytes come. */
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

  /** Called at the end of the stream: throws if a frame was cut off. */
  finish(): void {
    if (this.#bufferedBytes === 0) return;
    throw new PeerError("badFrame", "The stream ended inside a frame");
  }

  #joinChunks(): void {
    if (this.#chunks.length === 0) return;
    this.#data = Buffer.concat([this.#data, ...this.#chunks]);
    this.#chunks = [];
  }

  #readPayloadBytes(): number {
    const payloadBytes = this.#data.readUInt32BE(0);
    if (payloadBytes === 0) {
      throw new PeerError("badFrame", "The frame is empty");
    }
    if (payloadBytes > this.maxPayloadBytes) {
      throw new PeerError(
        "badFrame",
        `The frame has ${payloadBytes} bytes, above ${this.maxPayloadBytes}`,
      );
    }
    return payloadBytes;
  }
}
