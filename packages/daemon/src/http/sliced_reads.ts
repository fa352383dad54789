/**
 * Hands what is read from a connection to the HTTP library in small slices.
 *
 * @module
 */

import type { Socket } from "node:net";

/** 170 chunks of a byte, or 0.6 ms. */
const FIRST_SLICE_BYTES = 1024;
/** Once a connection has sent this much, its slices may be larger. */
const FIRST_BYTES = 16 * 1024;
const SLICE_BYTES = 4096;

interface ReadHandle {
  reading: boolean;
  readStart(): void;
  readStop(): void;
}

/**
 * The HTTP library parses what it reads from the kernel in one go, whatever is
 * paused meanwhile. A listener for data makes it take what the stream emits
 * instead. The stream itself isn't relied on for pauses: the library resumes it
 * whenever it wants more of a message.
 *
 * @example
 * ```ts
 * const slices = new SlicedReads(socket, () => connection.isPaused);
 * slices.stop();
 * slices.start();
 * ```
 */
export class SlicedReads {
  readonly #socket: Socket;
  readonly #isPaused: () => boolean;
  readonly #push: (data: Buffer | null) => boolean;
  /** Read from the kernel, but not handed on; at most what one read held. */
  #pending: Buffer[] = [];
  #isEndPending = false;
  #isScheduled = false;
  #isEnded = false;
  #handedOnBytes = 0;

  constructor(socket: Socket, isPaused: () => boolean) {
    this.#socket = socket;
    this.#isPaused = isPaused;
    this.#push = socket.push.bind(socket);
    socket.push = (data: Buffer | null): boolean => this.#receive(data);
    socket.on("data", () => undefined);
  }

  /** Reads nothing more from the kernel. */
  stop(): void {
    const handle = this.#handle;
    if (handle?.reading !== true) return;
    handle.reading = false;
    handle.readStop();
  }

  /** Hands on what is pending, and then reads on. */
  start(): void {
    this.#schedule();
  }

  /** Drops what is pending, and reads nothing more. */
  end(): void {
    this.#isEnded = true;
    this.#pending = [];
    this.stop();
  }

  /** Returns whether more may be read. */
  #receive(data: Buffer | null): boolean {
    if (this.#isEnded) return data === null && this.#push(null);
    if (data === null) this.#isEndPending = true;
    else this.#pending.push(data);
    if (!this.#isScheduled) this.#handOn();
    return this.#pending.length === 0 && !this.#isPaused();
  }

  /** Hands on one slice. */
  #handOn(): void {
    if (this.#isEnded) return;
    if (this.#socket.destroyed) {
      this.end();
      return;
    }
    if (this.#isPaused()) {
      this.stop();
      return;
    }
    const slice = this.#takeSlice();
    if (slice !== undefined) {
      this.#handedOnBytes += slice.length;
      this.#push(slice);
      this.#schedule();
    } else if (this.#isEndPending) {
      this.#isEndPending = false;
      this.#push(null);
      this.#socket.read(0);
    } else this.#readOn();
  }

  /**
   * The listeners of a message are called only after the callback that parsed
   * its head, so that the next slice waits for that.
   */
  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    process.nextTick(() => {
      this.#isScheduled = false;
      this.#handOn();
    });
  }

  #readOn(): void {
    const handle = this.#handle;
    if (handle === null || handle.reading) return;
    handle.reading = true;
    handle.readStart();
  }

  #takeSlice(): Buffer | undefined {
    const [first] = this.#pending;
    if (first === undefined) return undefined;
    const bytes = this.#handedOnBytes < FIRST_BYTES
      ? FIRST_SLICE_BYTES
      : SLICE_BYTES;
    if (first.length <= bytes) this.#pending.shift();
    else this.#pending[0] = first.subarray(bytes);
    return first.subarray(0, bytes);
  }

  get #handle(): ReadHandle | null {
    const { _handle: handle } = this.#socket as unknown as {
      readonly _handle: ReadHandle | null;
    };
    return handle;
  }
}
