/**
 * A TCP connection that carries frames.
 *
 * @module
 */

import type { Socket } from "node:net";
import { decodePayload } from "./frame_codec.js";
import { FrameSplitter } from "./frame_splitter.js";
import { PeerError } from "./peer_error.js";

/** More unsent bytes than this mean that the other side doesn't read. */
export const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;
/** The largest frame before the other side has proved who it is. */
const MAX_HANDSHAKE_FRAME_BYTES = 4096;

export interface FrameChannelOptions {
  /** Unsent bytes above which the connection is closed. */
  readonly maxBufferedBytes: number;
}

/**
 * Sends and receives frames over one socket.
 *
 * @example
 * ```ts
 * const channel = new FrameChannel(socket, { maxBufferedBytes });
 * channel.send(encodeFrame(message));
 * for (let f = await channel.receive(); f; f = await channel.receive()) …
 * ```
 */
export class FrameChannel {
  readonly #socket: Socket;
  readonly #maxBufferedBytes: number;
  readonly #splitter = new FrameSplitter(MAX_HANDSHAKE_FRAME_BYTES);
  readonly #chunks: AsyncIterator<Buffer>;
  #isCorked = false;
  #closeReason: PeerError | undefined;

  constructor(socket: Socket, options: FrameChannelOptions) {
    this.#socket = socket;
    this.#maxBufferedBytes = options.maxBufferedBytes;
    socket.setNoDelay(true);
    // Errors reach the reader through the iterator; without a listener one
    // that comes when nobody reads would end the process.
    socket.on("error", () => undefined);
    this.#chunks = socket[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
  }

  get closeReason(): PeerError | undefined {
    return this.#closeReason;
  }

  /** From now on frames of any allowed size are taken. */
  raiseFrameLimit(maxFrameBytes: number): void {
    this.#splitter.maxPayloadBytes = maxFrameBytes;
  }

  /**
   * Sends a frame; false when the connection is closed. Frames of one turn of
   * the event loop leave together.
   */
  send(frame: Buffer): boolean {
    const socket = this.#socket;
    if (socket.destroyed || !socket.writable) return false;
    if (socket.writableLength > this.#maxBufferedBytes) {
      this.destroy(new PeerError("notReading", "The peer does not read"));
      return false;
    }
    if (!this.#isCorked) {
      this.#isCorked = true;
      socket.cork();
      process.nextTick(() => {
        this.#isCorked = false;
        socket.uncork();
      });
    }
    socket.write(frame);
    return true;
  }

  /**
   * Waits for the next frame's value; `undefined` at the end of the stream.
   * Throws a `PeerError` for anything that isn't a frame.
   */
  async receive(): Promise<unknown> {
    for (;;) {
      const payload = this.#splitter.next();
      if (payload !== undefined) return decodePayload(payload);
      const chunk = await this.#nextChunk();
      if (chunk === undefined) {
        this.#splitter.finish();
        return undefined;
      }
      this.#splitter.push(chunk);
    }
  }

  /** Sends what is buffered, then ends this side of the connection. */
  end(): void {
    this.#socket.end();
  }

  destroy(reason: PeerError): void {
    this.#closeReason ??= reason;
    this.#socket.destroy();
  }

  async #nextChunk(): Promise<Buffer | undefined> {
    try {
      const result = await this.#chunks.next();
      return result.done === true ? undefined : result.value;
    } catch (cause) {
      if (this.#closeReason !== undefined) throw this.#closeReason;
      throw new PeerError("connectionClosed", "The connection broke", {
        cause,
      });
    }
  }
}
