/**
 * Gives the requests of one connection their turns.
 *
 * Load pattern: a client may send any number of requests without waiting for
 * responses, and these come in order anyway. If all were handled at once, one
 * connection would take the places of many clients.
 *
 * @module
 */

import type { ConnectionRead } from "./connection_reads.js";
import { readTcpState } from "./tcp_state.js";
import type { Socket } from "node:net";

/** Requests of one connection that are handled at a time by default. */
export const DEFAULT_MAX_HANDLED = 4;

/** The requests of one connection, in the order of their arrival. */
export class PipelinedRequests {
  readonly #socket: Socket;
  readonly #connection: ConnectionRead;
  readonly #maxHandled: () => number;
  readonly #waiting: (() => void)[] = [];
  #handled = 0;
  #requestCount = 0;

  constructor(
    socket: Socket,
    connection: ConnectionRead,
    options: { readonly maxHandled?: () => number } = {},
  ) {
    this.#maxHandled = options.maxHandled ?? (() => DEFAULT_MAX_HANDLED);
    this.#socket = socket;
    this.#connection = connection;
    // What waits for a client that is gone is never started.
    const forget = (): void => {
      this.#waiting.length = 0;
    };
    socket.once("end", forget);
    socket.once("close", forget);
  }

  get waitingCount(): number {
    return this.#waiting.length;
  }

  /** Whether requests have no response yet. */
  get isBusy(): boolean {
    return this.#handled > 0;
  }

  /** Number of requests that were read so far. */
  get requestCount(): number {
    return this.#requestCount;
  }

  /** Starts the request in its turn. Nothing more is read while one waits. */
  add(start: () => void): void {
    this.#requestCount += 1;
    if (this.#handled < this.#maxHandled()) {
      this.#handled += 1;
      start();
      return;
    }
    this.#waiting.push(start);
    this.#connection.countMessage();
    this.#connection.pause("pipelining");
  }

  /** To be called once for each started request. */
  end(): void {
    this.#handled -= 1;
    while (this.#handled < this.#maxHandled()) {
      const next = this.#waiting.shift();
      if (next === undefined) break;
      this.#handled += 1;
      next();
    }
    if (this.#waiting.length === 0) this.#connection.resume("pipelining");
  }

  /** Starts all that wait, whatever their number. */
  startAll(): void {
    for (const start of this.#waiting.splice(0)) {
      this.#handled += 1;
      start();
    }
  }

  /** A connection that isn't read doesn't report its end by itself. */
  closeIfClientIsGone(): void {
    if (this.#waiting.length === 0) return;
    if (readTcpState(this.#socket)?.isClosedByPeer === true) {
      this.#socket.destroy();
    }
  }
}
