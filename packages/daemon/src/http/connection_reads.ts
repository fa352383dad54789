/**
 * Decides when the connections of a server are read.
 *
 * Load pattern: the HTTP library parses up to 64 kB a read and calls back for
 * each chunk in them, so that a connection that sends tiny chunks gets many
 * times the processor time of others, and many such connections that become
 * readable in the same turn of the event loop add up.
 *
 * @module
 */

import type { Server } from "node:http";
import type { Socket } from "node:net";
import type {
  ConnectionChunkLimiter,
  SmallChunkLimiter,
} from "./small_chunk_limiter.js";

/** Why a connection isn't read at present. */
export type PauseReason =
  /** It sends more small chunks than its share. */
  | "smallChunks"
  /** All connections have used up their share of the turn. */
  | "turn"
  /** What is buffered for others is near its limit. */
  | "memory"
  /** Requests that were read before wait for their turn. */
  | "pipelining";

/** One connection. Read while there is no reason to pause. */
export class ConnectionRead {
  readonly #socket: Socket;
  readonly #reads: ConnectionReads;
  readonly #reasons = new Set<PauseReason>();
  #limiter: ConnectionChunkLimiter | undefined;

  constructor(socket: Socket, reads: ConnectionReads) {
    this.#socket = socket;
    this.#reads = reads;
    // The HTTP library resumes the socket whenever it wants more of a message.
    socket.on("resume", () => {
      if (this.isPaused) socket.pause();
    });
  }

  get isPaused(): boolean {
    return this.#reasons.size > 0;
  }

  pause(reason: PauseReason): void {
    if (this.#reasons.has(reason)) return;
    this.#reasons.add(reason);
    if (this.#reasons.size === 1) this.#socket.pause();
  }

  resume(reason: PauseReason): void {
    if (!this.#reasons.delete(reason)) return;
    if (!this.isPaused && !this.#socket.destroyed) this.#socket.resume();
  }

  /** Counts a received chunk, or a message as a chunk of 0 bytes. */
  countChunk(bytes: number): void {
    this.#limiter ??= this.#reads.limiter.forConnection(() => {
      this.resume("smallChunks");
    });
    if (this.#limiter.receive(bytes)) return;
    this.pause("smallChunks");
    this.#reads.checkTurn();
  }
}

/** All connections that share a limiter of small chunks. */
export class ConnectionReads {
  readonly limiter: SmallChunkLimiter;
  readonly #connections = new Map<Socket, ConnectionRead>();
  #isTurnUsedUp = false;

  constructor(limiter: SmallChunkLimiter) {
    this.limiter = limiter;
  }

  /** Includes the connections that the server accepts from now on. */
  watch(server: Server): void {
    server.on("connection", (socket: Socket) => {
      this.of(socket);
    });
  }

  of(socket: Socket): ConnectionRead {
    const known = this.#connections.get(socket);
    if (known !== undefined) return known;
    const connection = new ConnectionRead(socket, this);
    this.#connections.set(socket, connection);
    socket.once("close", () => {
      this.#connections.delete(socket);
    });
    // What was accepted in a turn without a share isn't read in it, either.
    if (this.#isTurnUsedUp) connection.pause("turn");
    return connection;
  }

  /** Reads nothing more in this turn if the share of it is used up. */
  checkTurn(): void {
    if (this.#isTurnUsedUp || !this.limiter.isTurnUsedUp) return;
    this.#isTurnUsedUp = true;
    for (const connection of this.#connections.values()) {
      connection.pause("turn");
    }
    this.limiter.onNextTurn(() => {
      this.#isTurnUsedUp = false;
      for (const connection of this.#connections.values()) {
        connection.resume("turn");
      }
    });
  }
}
