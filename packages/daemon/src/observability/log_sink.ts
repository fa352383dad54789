/**
 * Takes log lines to the standard output without ever waiting for it.
 *
 * Lines beyond the bounds are dropped, and the next line that gets through
 * tells how many were.
 *
 * @module
 */

import { fstatSync } from "node:fs";
import { Socket } from "node:net";

/** Most lines of one second. */
const MOST_LINES_PER_SECOND = 400;
/** Most bytes that wait for a slow reader. */
const MOST_WAITING_BYTES = 256 * 1024;
const WINDOW_MS = 1000;
const STANDARD_OUTPUT = 1;

/** The part of a stream that the sink needs. */
export interface LogStream {
  write(text: string): unknown;
  /** Bytes that were written and have not left. */
  readonly writableLength: number;
}

export interface LogSinkOptions {
  readonly stream: LogStream;
  readonly nowMs: () => number;
  readonly linesPerSecond?: number;
  /** Formats the line that tells of dropped ones. */
  readonly formatDropped: (count: number) => string;
}

export class LogSink {
  readonly #options: LogSinkOptions;
  readonly #linesPerSecond: number;
  #windowStartMs = -Infinity;
  #linesInWindow = 0;
  #dropped = 0;
  #pending = "";

  constructor(options: LogSinkOptions) {
    this.#options = options;
    this.#linesPerSecond = options.linesPerSecond ?? MOST_LINES_PER_SECOND;
  }

  /** Lines that were dropped and not told of yet. */
  get droppedCount(): number {
    return this.#dropped;
  }

  write(line: string): void {
    if (!this.#hasRoom()) {
      this.#dropped += 1;
      return;
    }
    if (this.#dropped > 0) {
      const dropped = this.#dropped;
      this.#dropped = 0;
      this.#append(this.#options.formatDropped(dropped));
    }
    this.#append(line);
  }

  #hasRoom(): boolean {
    const { stream, nowMs } = this.#options;
    const now = nowMs();
    if (now - this.#windowStartMs >= WINDOW_MS) {
      this.#windowStartMs = now;
      this.#linesInWindow = 0;
    }
    return this.#linesInWindow < this.#linesPerSecond &&
      stream.writableLength + this.#pending.length < MOST_WAITING_BYTES;
  }

  /** All lines of one turn of the event loop leave in one write. */
  #append(line: string): void {
    this.#linesInWindow += 1;
    if (this.#pending === "") {
      setImmediate(() => {
        this.flush();
      });
    }
    this.#pending += `${line}\n`;
  }

  flush(): void {
    if (this.#pending === "") return;
    const text = this.#pending;
    this.#pending = "";
    this.#options.stream.write(text);
  }
}

/**
 * The standard output as a stream that doesn't block. The runtime's own one
 * blocks the process while nobody reads a pipe.
 */
export function openStandardOutput(): LogStream {
  const status = fstatSync(STANDARD_OUTPUT);
  if (!status.isFIFO() && !status.isSocket()) return process.stdout;
  const socket = new Socket({
    fd: STANDARD_OUTPUT,
    readable: false,
    writable: true,
  });
  // Without a reader there is nobody to tell.
  socket.on("error", () => undefined);
  socket.unref();
  return socket;
}
