/**
 * Collects received chunks in one block of memory.
 *
 * @module
 */

const INITIAL_BYTES = 1024;

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
  #data = Buffer.alloc(0);
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

  /** Returns what was collected and starts anew. */
  take(): Buffer {
    const data = this.#data.subarray(0, this.#length);
    this.#data = Buffer.alloc(0);
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
