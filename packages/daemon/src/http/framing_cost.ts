/**
 * What the framing of a connection's bodies costs in relation to their bytes.
 *
 * @module
 */

/** Fewer small chunks cost too little to be judged. */
const MIN_JUDGED_CHUNKS = 128;
/** Proxies send 1,400 bytes and more a chunk, and senders of events some 100. */
const MIN_MEAN_CHUNK_BYTES = 16;

/** The small chunks of one connection. */
export class FramingCost {
  #chunks = 0;
  #bytes = 0;

  countSmallChunk(bytes: number): void {
    this.#chunks += 1;
    this.#bytes += bytes;
  }

  /** Whether the framing costs far more than the bytes that it carries. */
  get isWasteful(): boolean {
    return this.#chunks >= MIN_JUDGED_CHUNKS &&
      this.#bytes < this.#chunks * MIN_MEAN_CHUNK_BYTES;
  }
}
