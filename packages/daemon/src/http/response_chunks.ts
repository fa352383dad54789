/**
 * Hands on the chunks of a response body at a bounded cost.
 *
 * Load pattern: the HTTP library reports each chunk of a chunked body by itself,
 * all chunks of one read in a row. A server that sends chunks of a byte would
 * occupy the event loop, and everything that handles the chunks afterwards.
 *
 * @module
 */

import { GrowingBuffer } from "../memory/growing_buffer.js";
import type {
  ConnectionChunkLimiter,
  SmallChunkLimiter,
} from "./small_chunk_limiter.js";

/** Larger chunks are handed on by themselves, without a copy. */
const MAX_JOINED_CHUNK_BYTES = 512;
/** The mean size of this many chunks in a row is judged. */
const JUDGED_CHUNKS = 4096;
/** The shortest event of a stream has more. */
const MIN_MEAN_CHUNK_BYTES = 4;

export interface ResponseChunksOptions {
  readonly limiter: SmallChunkLimiter;
  /** Gets the chunks; small ones of the same read are joined. */
  readonly onBytes: (bytes: Buffer) => void;
  /** Called with what `onBytes` threw, if it wasn't called by `receive`. */
  readonly onError: (error: unknown) => void;
}

/** What the caller has to do after a chunk. */
export type ChunkDecision =
  | "goOn"
  /** Nothing more may be parsed until the response is resumed. */
  | "pause"
  /** The response costs more than its bytes are worth. */
  | "end";

/**
 * The chunks of one response.
 *
 * @example
 * ```ts
 * const chunks = new ResponseChunks({ limiter, onBytes, onError }, resume);
 * if (chunks.receive(chunk) === "end") closeConnection();
 * chunks.flush();
 * ```
 */
export class ResponseChunks {
  readonly #options: ResponseChunksOptions;
  readonly #pace: ConnectionChunkLimiter;
  readonly #joined = new GrowingBuffer();
  #single: Buffer | undefined;
  #isFlushPlanned = false;
  #isStopped = false;
  #judgedChunks = 0;
  #judgedBytes = 0;

  /** @param resume Called after a pause */
  constructor(options: ResponseChunksOptions, resume: () => void) {
    this.#options = options;
    this.#pace = options.limiter.forConnection(() => {
      if (!this.#isStopped) resume();
    });
  }

  receive(chunk: Buffer): ChunkDecision {
    if (this.#isWasteful(chunk)) return "end";
    if (chunk.length >= MAX_JOINED_CHUNK_BYTES) {
      this.flush();
      if (!this.#isStopped) this.#options.onBytes(chunk);
    } else this.#join(chunk);
    return this.#pace.receive(chunk.length) ? "goOn" : "pause";
  }

  /** Hands on what was received so far. */
  flush(): void {
    const bytes = this.#single ?? this.#joined.take();
    this.#single = undefined;
    if (bytes.length > 0 && !this.#isStopped) this.#options.onBytes(bytes);
  }

  /** Hands on nothing more. */
  stop(): void {
    this.#isStopped = true;
    this.#single = undefined;
    this.#joined.take();
  }

  #join(chunk: Buffer): void {
    if (this.#single === undefined && this.#joined.length === 0) {
      this.#single = chunk;
    } else {
      if (this.#single !== undefined) this.#joined.append(this.#single);
      this.#single = undefined;
      this.#joined.append(chunk);
    }
    if (this.#isFlushPlanned) return;
    this.#isFlushPlanned = true;
    // Runs once the read has been parsed.
    queueMicrotask(this.#flushPlanned);
  }

  readonly #flushPlanned = (): void => {
    this.#isFlushPlanned = false;
    try {
      this.flush();
    } catch (error) {
      this.#options.onError(error);
    }
  };

  #isWasteful(chunk: Buffer): boolean {
    this.#judgedChunks += 1;
    this.#judgedBytes += chunk.length;
    if (this.#judgedChunks < JUDGED_CHUNKS) return false;
    const isWasteful =
      this.#judgedBytes < this.#judgedChunks * MIN_MEAN_CHUNK_BYTES;
    this.#judgedChunks = 0;
    this.#judgedBytes = 0;
    return isWasteful;
  }
}
