/**
 * Splits a server-sent event stream at event boundaries without changing its
 * bytes.
 *
 * @module
 */

import type { AccountedBuffer } from "../memory/accounted_buffer.js";
import type { GrowingBuffer } from "../memory/growing_buffer.js";

export interface CompleteEvents {
  readonly bytes: Buffer;
  /** Id of the last event in `bytes` that has one. */
  readonly lastId: string | undefined;
}

const LINE_FEED = 0x0a;
const NO_BYTES = Buffer.alloc(0);

/**
 * Buffers an incomplete event until the rest of it arrives. A stream that breaks
 * in the middle of an event can then be resumed at another backend server.
 *
 * @example
 * ```ts
 * const splitter = new EventSplitter(new GrowingBuffer());
 * const { bytes, lastId } = splitter.push(chunk);
 * ```
 */
export class EventSplitter {
  readonly #partialEvent: GrowingBuffer | AccountedBuffer;

  constructor(partialEvent: GrowingBuffer | AccountedBuffer) {
    this.#partialEvent = partialEvent;
  }

  /** Size of the buffered event. */
  get partialEventBytes(): number {
    return this.#partialEvent.length;
  }

  push(chunk: Buffer): CompleteEvents {
    const bufferedBytes = this.#partialEvent.length;
    if (bufferedBytes === 0) return this.#splitAfterLastEvent(chunk, 0);
    this.#partialEvent.append(chunk);
    const end = endOfLastEvent(this.#partialEvent.view(), bufferedBytes);
    if (end === 0) return { bytes: NO_BYTES, lastId: undefined };
    return this.#splitAfterLastEvent(this.#partialEvent.take(), bufferedBytes);
  }

  #splitAfterLastEvent(bytes: Buffer, firstEnd: number): CompleteEvents {
    const end = endOfLastEvent(bytes, firstEnd);
    if (end < bytes.length) this.#partialEvent.append(bytes.subarray(end));
    const complete = bytes.subarray(0, end);
    return { bytes: complete, lastId: lastIdOf(complete) };
  }
}

/**
 * Index just past the last blank line; 0 if there is none.
 *
 * @param from No blank line ends before this index
 */
function endOfLastEvent(bytes: Buffer, from: number): number {
  for (let index = bytes.length - 1; index >= Math.max(from, 1); index--) {
    if (bytes[index] !== LINE_FEED) continue;
    if (bytes[index - 1] === LINE_FEED) return index + 1;
    const isCarriageReturn = bytes[index - 1] === 0x0d;
    if (isCarriageReturn && bytes[index - 2] === LINE_FEED) return index + 1;
  }
  return 0;
}

function lastIdOf(complete: Buffer): string | undefined {
  const text = complete.toString("latin1");
  const firstLineStart = text.startsWith("id:") ? 0 : -1;
  const last = text.lastIndexOf("\nid:");
  const start = last >= 0 ? last + 1 : firstLineStart;
  if (start < 0) return undefined;
  const end = text.indexOf("\n", start);
  return text.slice(start + 3, end < 0 ? undefined : end).trim();
}
