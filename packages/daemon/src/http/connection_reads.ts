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

/** Cost of parsing a message, in small chunks. */
const MESSAGE_CHUNKS = 8;
/** Of all connections together, in one turn of the event loop. */
const MAX_BYTES_PER_TURN = 4 * 1024 * 1024;

/** Called once for each connection and reason. */
export type PauseListener = (reason: PauseReason, socket: Socket) => void;

/** One connection. Read while there is no reason to pause. */
export class ConnectionRead {
  readonly #socket: Socket;
  readonly #reads: ConnectionReads;
  readonly #reasons = new Set<PauseReason>();
  readonly #reported = new Set<PauseReason>();
  #limiter: ConnectionChunkLimiter | undefined;

  constructor(socket: Socket, reads: ConnectionReads) {
    this.#socket = socket;
    this.#reads = reads;
    // The HTTP library resumes the socket whenever it wants more of a message. A
    // resumption may also have been scheduled before the pause, as for each new
    // connection: the socket then counts as paused, and yet the library reads it.
    socket.on("resume", () => {
      if (!this.isPaused) return;
      socket.pause();
      socket.emit("pause");
    });
  }

  get isPaused(): boolean {
    return this.#reasons.size > 0;
  }

  pause(reason: PauseReason): void {
    if (this.#reasons.has(reason)) return;
    this.#reasons.add(reason);
    if (this.#reasons.size === 1) this.#socket.pause();
    // The turn is over for all alike, and says nothing of this connection.
    if (reason === "turn" || this.#reported.has(reason)) return;
    this.#reported.add(reason);
    this.#reads.onPaused(reason, this.#socket);
  }

  resume(reason: PauseReason): void {
    if (!this.#reasons.delete(reason)) return;
    if (!this.isPaused && !this.#socket.destroyed) this.#socket.resume();
  }

  /** Counts a message that has to wait; its parsing costs as much as chunks do. */
  countMessage(): void {
    for (let n = 0; n < MESSAGE_CHUNKS; n++) this.countChunk(0);
  }

  countChunk(bytes: number): void {
    this.#reads.countBytes(bytes);
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
  readonly onPaused: PauseListener;
  readonly #connections = new Map<Socket, ConnectionRead>();
  #isTurnUsedUp = false;
  #bytesInTurn = 0;

  constructor(
    limiter: SmallChunkLimiter,
    onPaused: PauseListener = () => undefined,
  ) {
    this.limiter = limiter;
    this.onPaused = onPaused;
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

  /** Bounds the time in which large bodies are copied. */
  countBytes(bytes: number): void {
    if (bytes === 0) return;
    if (this.#bytesInTurn === 0) {
      this.limiter.onNextTurn(() => {
        this.#bytesInTurn = 0;
      });
    }
    this.#bytesInTurn += bytes;
    if (this.#bytesInTurn >= MAX_BYTES_PER_TURN) this.#endTurn();
  }

  /** Reads nothing more in this turn if the share of it is used up. */
  checkTurn(): void {
    if (this.limiter.isTurnUsedUp) this.#endTurn();
  }

  #endTurn(): void {
    if (this.#isTurnUsedUp) return;
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
