/**
 * A growing buffer whose memory is in the account of buffered bytes.
 *
 * @module
 */

import type {
  BufferAccount,
  BufferHolder,
  BufferUse,
  HeldBuffer,
} from "./buffer_account.js";
import { GrowingBuffer } from "./growing_buffer.js";

export interface AccountedBufferOptions {
  readonly account: BufferAccount;
  readonly use: BufferUse;
  readonly holder: BufferHolder;
}

/**
 * Appears in the account while it holds bytes.
 *
 * @example
 * ```ts
 * const body = new AccountedBuffer({ account, use: "serverResponses", holder });
 * body.append(chunk);
 * handle(body.take());
 * ```
 */
export class AccountedBuffer {
  readonly #options: AccountedBufferOptions;
  readonly #bytes = new GrowingBuffer();
  #held: HeldBuffer | undefined;

  constructor(options: AccountedBufferOptions) {
    this.#options = options;
  }

  get length(): number {
    return this.#bytes.length;
  }

  /** May evict holders, this one included. */
  append(chunk: Buffer): void {
    this.#bytes.append(chunk);
    const { account, use, holder } = this.#options;
    this.#held ??= account.open(use, holder);
    this.#held.resize(this.#bytes.capacity);
  }

  /** What was collected; valid until the next change. */
  view(): Buffer {
    return this.#bytes.view();
  }

  /** Returns what was collected and starts anew. */
  take(): Buffer {
    this.#held?.close();
    this.#held = undefined;
    return this.#bytes.take();
  }
}
