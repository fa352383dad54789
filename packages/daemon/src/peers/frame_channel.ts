/**
 * A TCP connection that carries frames.
 *
 * @module
 */

import type { Socket } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import { decodePayload } from "./frame_codec.js";
import { FrameSplitter } from "./frame_splitter.js";
import { PeerError } from "./peer_error.js";

/** Above this many unsent bytes the peer is considered not to be reading. */
export const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;
/** Above this many bytes of frames that wait, nothing more is read. */
const MAX_UNREAD_BYTES = 256 * 1024;
/** More frames that arrived together are handled in later turns. */
const MAX_FRAMES_PER_TURN = 256;
/** Maximum frame size until the peer is authenticated. */
const MAX_HANDSHAKE_FRAME_BYTES = 4096;

export interface FrameChannelOptions {
  /** Number of unsent bytes above which the connection is closed. */
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
  /** Resolves the wait for more data. */
  #wake: (() => void) | undefined;
  #end: "open" | "ended" | "failed" = "open";
  #failure: unknown;
  #framesInTurn = 0;
  #isCorked = false;
  #closeReason: PeerError | undefined;

  constructor(socket: Socket, options: FrameChannelOptions) {
    this.#socket = socket;
    this.#maxBufferedBytes = options.maxBufferedBytes;
    socket.setNoDelay(true);
    // Listeners cost a fraction of an iterator over the socket, which counts in
    // a fleet where most chunks are one small frame.
    socket.on("data", (chunk: Buffer) => {
      this.#splitter.push(chunk);
      if (this.#splitter.bufferedBytes > MAX_UNREAD_BYTES) socket.pause();
      this.#wake?.();
    });
    socket.on("error", (error) => {
      this.#recordEnd("failed", error);
    });
    socket.on("end", () => {
      this.#recordEnd("ended");
    });
    socket.on("close", () => {
      this.#recordEnd("failed");
    });
  }

  get closeReason(): PeerError | undefined {
    return this.#closeReason;
  }

  /** Raises the maximum frame size, once the peer is authenticated. */
  raiseFrameLimit(maxFrameBytes: number): void {
    this.#splitter.maxPayloadBytes = maxFrameBytes;
  }

  /**
   * Sends a frame; returns false if the connection is closed. Frames that are
   * sent in the same turn of the event loop are written together.
   */
  send(frame: Buffer): boolean {
    const socket = this.#socket;
    if (socket.destroyed || !socket.writable) return false;
    if (socket.writableLength > this.#maxBufferedBytes) {
      this.destroy(new PeerError("notReading", "The peer is not reading"));
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
   * Waits for the next frame and returns its decoded value, or `undefined` at
   * the end of the stream. Throws a `PeerError` if the data isn't a frame.
   */
  async receive(): Promise<unknown> {
    for (;;) {
      const payload = this.#splitter.next();
      if (payload !== undefined) {
        if (this.#usesUpTurn()) await nextTurn();
        return decodePayload(payload);
      }
      if (this.#end === "failed") throw this.#failureError();
      if (this.#end === "ended") {
        this.#splitter.finish();
        return undefined;
      }
      this.#framesInTurn = 0;
      if (this.#socket.isPaused()) this.#socket.resume();
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
      this.#wake = undefined;
    }
  }

  /** Counts a frame; returns whether other work has to run before it. */
  #usesUpTurn(): boolean {
    this.#framesInTurn += 1;
    if (this.#framesInTurn <= MAX_FRAMES_PER_TURN) return false;
    this.#framesInTurn = 1;
    return true;
  }

  /** Sends the buffered data, then ends this side of the connection. */
  end(): void {
    this.#socket.end();
  }

  destroy(reason: PeerError): void {
    this.#closeReason ??= reason;
    this.#socket.destroy();
  }

  /** The first way of ending counts. */
  #recordEnd(end: "ended" | "failed", failure?: unknown): void {
    if (this.#end !== "open") return;
    this.#end = end;
    this.#failure = failure;
    this.#wake?.();
  }

  #failureError(): PeerError {
    return this.#closeReason ??
      new PeerError("connectionClosed", "The connection failed", {
        cause: this.#failure,
      });
  }
}
