/**
 * Collects received chunks in one block of memory.
 *
 * @module
 */

const INITIAL_BYTES = 1024;
const NO_BYTES: Buffer = Buffer.alloc(0);

/**
 * Copies the chunks, so that what it holds follows their bytes, however many
 * there are: at most twice the bytes, and the initial size.
 *
 * @example
 * ```ts
 * const body = new GrowingBuffer(declaredBytes);
 * body.append(chunk);
 * handle(body.take());
 * ```
 */
export class GrowingBuffer {
  readonly #maxBytes: number;
  #data = NO_BYTES;
  #length = 0;

  /** @param maxBytes Known size of the whole, if it is known */
  constructor(maxBytes = Infinity) {
    this.#maxBytes = maxBytes;
  }

  get length(): number {
    return this.#length;
  }

  /** Memory that is occupied. */
  get capacity(): number {
    return this.#data.length;
  }

  append(chunk: Buffer): void {
    const length = this.#length + chunk.length;
    if (length > this.#data.length) this.#grow(length);
    chunk.copy(this.#data, this.#length);
    this.#length = length;
  }

  /** What was collected; valid until the next change. */
  view(): Buffer {
    return this.#data.subarray(0, this.#length);
  }

  /** Returns what was collected and starts anew. */
  take(): Buffer {
    const data = this.view();
    this.#data = NO_BYTES;
    this.#length = 0;
    return data;
  }

  #grow(minBytes: number): void {
    const doubled = Math.max(INITIAL_BYTES, this.#data.length * 2);
    const capacity = Math.max(minBytes, Math.min(doubled, this.#maxBytes));
    const data = Buffer.allocUnsafeSlow(capacity);
    this.#data.copy(data, 0, 0, this.#length);
    this.#data = data;
  }
}
