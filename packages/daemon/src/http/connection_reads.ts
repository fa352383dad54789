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
import { FramingCost } from "./framing_cost.js";
import { SlicedReads } from "./sliced_reads.js";
import {
  type ConnectionChunkLimiter,
  SMALL_CHUNK_BYTES,
  type SmallChunkLimiter,
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
  | "pipelining"
  /** It is being closed. */
  | "ending";

/** Whether a connection may go on after a chunk. */
export type ChunkVerdict =
  | "goOn"
  /** Its framing costs far more than its bytes, at the expense of others. */
  | "wasteful";

/** Cost of parsing a message, in small chunks. */
const MESSAGE_CHUNKS = 8;
/** Of all connections together, in one turn of the event loop. */
const MAX_BYTES_PER_TURN = 4 * 1024 * 1024;
/**
 * The event loop accepts one connection a turn. After a turn whose share was
 * used up, up to this many turns only accept, as long as connections come.
 */
const MAX_ACCEPTING_TURNS = 16;
/** After small chunks, new connections are read in slices for this long. */
const SLICING_MS = 10_000;

/** Called once for each connection and reason. */
export type PauseListener = (reason: PauseReason, socket: Socket) => void;

/** One connection. Read while there is no reason to pause. */
export class ConnectionRead {
  readonly #socket: Socket;
  readonly #reads: ConnectionReads;
  readonly #reasons = new Set<PauseReason>();
  readonly #reported = new Set<PauseReason>();
  readonly #framing = new FramingCost();
  #limiter: ConnectionChunkLimiter | undefined;
  #slices: SlicedReads | undefined;

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
      this.#slices?.stop();
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
    if (reason === "turn" || reason === "ending") return;
    if (this.#reported.has(reason)) return;
    this.#reported.add(reason);
    this.#reads.onPaused(reason, this.#socket);
  }

  /** Reads nothing more. */
  end(): void {
    this.pause("ending");
    this.#slices?.end();
  }

  resume(reason: PauseReason): void {
    if (!this.#reasons.delete(reason)) return;
    if (this.isPaused || this.#socket.destroyed) return;
    this.#socket.resume();
    this.#slices?.start();
  }

  /** Bounds what one read costs from now on. */
  slice(): void {
    if (this.#slices !== undefined || this.#socket.destroyed) return;
    this.#slices = new SlicedReads(this.#socket, () => this.isPaused);
  }

  /** Counts a message that has to wait; its parsing costs as much as chunks do. */
  countMessage(): void {
    for (let n = 0; n < MESSAGE_CHUNKS; n++) this.countChunk(0);
  }

  countChunk(bytes: number): ChunkVerdict {
    this.#reads.countBytes(bytes);
    if (bytes < SMALL_CHUNK_BYTES) this.#framing.countSmallChunk(bytes);
    this.#limiter ??= this.#reads.limiter.forConnection(() => {
      this.resume("smallChunks");
    });
    const mayGoOn = this.#limiter.receive(bytes);
    const isWasteful = this.#framing.isWasteful &&
      this.#reads.limiter.isTotalUsedUp;
    if (!mayGoOn) {
      this.pause("smallChunks");
      this.#reads.startSlicing();
      this.#reads.checkTurn();
    }
    return isWasteful ? "wasteful" : "goOn";
  }
}

export interface ConnectionReadsOptions {
  /** Of all connections together, in one turn of the event loop; at most 4 MB. */
  readonly maxBytesPerTurn?: number;
  /** Called when large bodies have used up the share of a turn. */
  readonly onMuchRead?: () => void;
}

/** All connections that share a limiter of small chunks. */
export class ConnectionReads {
  readonly limiter: SmallChunkLimiter;
  readonly onPaused: PauseListener;
  readonly #onMuchRead: () => void;
  readonly #maxBytesPerTurn: number;
  readonly #connections = new Map<Socket, ConnectionRead>();
  #isTurnUsedUp = false;
  #bytesInTurn = 0;
  #acceptedInTurn = 0;
  #slicesUntilMs = -Infinity;

  constructor(
    limiter: SmallChunkLimiter,
    onPaused: PauseListener = () => undefined,
    options: ConnectionReadsOptions = {},
  ) {
    this.limiter = limiter;
    this.onPaused = onPaused;
    this.#onMuchRead = options.onMuchRead ?? (() => undefined);
    this.#maxBytesPerTurn = Math.min(
      options.maxBytesPerTurn ?? MAX_BYTES_PER_TURN,
      MAX_BYTES_PER_TURN,
    );
  }

  /** Includes the connections that the server accepts from now on. */
  watch(server: Server): void {
    server.on("connection", (socket: Socket) => {
      this.#acceptedInTurn += 1;
      const connection = this.of(socket);
      if (this.limiter.nowMs < this.#slicesUntilMs) connection.slice();
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

  /**
   * Called when a connection has sent more small chunks than its share. One read
   * of 64 kB may hold over 10,000 of them, so that all connections are read in
   * slices from then on, and new ones for some time.
   */
  startSlicing(): void {
    const { nowMs } = this.limiter;
    const isSlicing = nowMs < this.#slicesUntilMs;
    this.#slicesUntilMs = nowMs + SLICING_MS;
    if (isSlicing) return;
    // The HTTP library is inside a read of one of them.
    this.limiter.onNextTurn(() => {
      for (const connection of this.#connections.values()) connection.slice();
    });
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
    if (this.#bytesInTurn < this.#maxBytesPerTurn) return;
    this.#endTurn();
    this.#onMuchRead();
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
    this.#waitForNextTurn(MAX_ACCEPTING_TURNS);
  }

  #waitForNextTurn(remainingTurns: number): void {
    this.#acceptedInTurn = 0;
    this.limiter.onNextTurn(() => {
      if (this.#acceptedInTurn > 0 && remainingTurns > 0) {
        this.#waitForNextTurn(remainingTurns - 1);
        return;
      }
      this.#isTurnUsedUp = false;
      for (const connection of this.#connections.values()) {
        connection.resume("turn");
      }
    });
  }
}
