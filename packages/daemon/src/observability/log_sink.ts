/**
 * Writes log lines to a stream without blocking.
 *
 * Lines that exceed the rate or buffer limit are dropped. The next accepted
 * line is preceded by a notice with the number of dropped lines.
 *
 * @module
 */

import { fstatSync } from "node:fs";
import { Socket } from "node:net";

const DEFAULT_MAX_LINES_PER_SECOND = 400;
/** Limits the memory that a slow or stalled reader can occupy. */
const MAX_BUFFERED_BYTES = 256 * 1024;
const RATE_WINDOW_MS = 1000;
const STDOUT_FILE_DESCRIPTOR = 1;

/** The part of a writable stream that the sink uses. */
export interface LogStream {
  write(text: string): unknown;
  /** Bytes that were written but not yet flushed to the destination. */
  readonly writableLength: number;
}

export interface LogSinkOptions {
  readonly stream: LogStream;
  readonly nowMs: () => number;
  readonly maxLinesPerSecond?: number;
  /** Formats the line that reports the number of dropped lines. */
  readonly formatDroppedNotice: (count: number) => string;
}

/** Buffers and rate-limits log lines. */
export class LogSink {
  readonly #options: LogSinkOptions;
  readonly #maxLinesPerSecond: number;
  #windowStartMs = -Infinity;
  #linesInWindow = 0;
  #droppedLines = 0;
  #pending = "";

  constructor(options: LogSinkOptions) {
    this.#options = options;
    this.#maxLinesPerSecond = options.maxLinesPerSecond ??
      DEFAULT_MAX_LINES_PER_SECOND;
  }

  /** Number of dropped lines that were not reported yet. */
  get droppedCount(): number {
    return this.#droppedLines;
  }

  write(line: string): void {
    if (!this.#canAccept()) {
      this.#droppedLines += 1;
      return;
    }
    if (this.#droppedLines > 0) {
      const dropped = this.#droppedLines;
      this.#droppedLines = 0;
      this.#append(this.#options.formatDroppedNotice(dropped));
    }
    this.#append(line);
  }

  #canAccept(): boolean {
    const { stream, nowMs } = this.#options;
    const now = nowMs();
    if (now - this.#windowStartMs >= RATE_WINDOW_MS) {
      this.#windowStartMs = now;
      this.#linesInWindow = 0;
    }
    return this.#linesInWindow < this.#maxLinesPerSecond &&
      stream.writableLength + this.#pending.length < MAX_BUFFERED_BYTES;
  }

  /** Batches all lines of one event loop iteration into a single write. */
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
 * Opens standard output as a non-blocking stream. For a pipe, `process.stdout`
 * blocks the process while the reader is stalled.
 */
export function openNonBlockingStdout(): LogStream {
  const status = fstatSync(STDOUT_FILE_DESCRIPTOR);
  if (!status.isFIFO() && !status.isSocket()) return process.stdout;
  const socket = new Socket({
    fd: STDOUT_FILE_DESCRIPTOR,
    readable: false,
    writable: true,
  });
  // If the reader has closed the pipe, there is no place left to log the error.
  socket.on("error", () => undefined);
  socket.unref();
  return socket;
}
