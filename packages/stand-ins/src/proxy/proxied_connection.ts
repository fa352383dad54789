/**
 * One connection through the fault-injecting proxy.
 *
 * @module
 */

import { connect, type Socket } from "node:net";
import type { LinkMode } from "./link_mode.js";

export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

type Direction = "toTarget" | "toSource";

export interface ConnectionOptions {
  readonly source: Socket;
  readonly target: Endpoint;
  readonly mode: LinkMode;
  readonly onClose: () => void;
  /** Called when the target refuses the connection. */
  readonly onRefused: () => void;
}

/** Forwards both directions, each chunk according to the current mode. */
export class ProxiedConnection {
  readonly #source: Socket;
  readonly #target: Socket;
  #mode: LinkMode;
  readonly #delayed: Record<Direction, (() => void)[]> = {
    toSource: [],
    toTarget: [],
  };
  #forwardedBytes = 0;
  #hasDropped = false;
  #isClosed = false;

  constructor(options: ConnectionOptions) {
    this.#source = options.source;
    this.#mode = options.mode;
    this.#target = connect(options.target);
    this.#source.setNoDelay(true);
    this.#target.setNoDelay(true);
    this.#target.on("error", (error: NodeJS.ErrnoException) => {
      if (error.code === "ECONNREFUSED") options.onRefused();
    });
    this.#source.on("error", () => undefined);
    for (const socket of [this.#source, this.#target]) {
      socket.once("close", () => {
        this.#close(options.onClose);
      });
    }
    this.#startForwarding("toTarget");
    this.#startForwarding("toSource");
    this.setMode(options.mode);
  }

  setMode(mode: LinkMode): void {
    this.#mode = mode;
    // A TCP stream can't continue after bytes were dropped.
    const isBroken = this.#hasDropped && mode.kind !== "halfOpen";
    if (mode.kind === "cut" || isBroken) {
      this.reset();
      return;
    }
    for (const socket of [this.#source, this.#target]) {
      if (mode.kind === "freeze") socket.pause();
      else socket.resume();
    }
  }

  reset(): void {
    resetSocket(this.#source);
    resetSocket(this.#target);
  }

  #close(onClose: () => void): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    // If one side was reset, the other side must see a reset too.
    this.reset();
    onClose();
  }

  #startForwarding(direction: Direction): void {
    const from = direction === "toTarget" ? this.#source : this.#target;
    const to = direction === "toTarget" ? this.#target : this.#source;
    from.on("data", (chunk: Buffer) => {
      this.#forwardChunk(direction, chunk);
    });
    from.on("end", () => {
      this.#runInOrder(direction, () => {
        to.end();
      });
    });
  }

  #forwardChunk(direction: Direction, chunk: Buffer): void {
    const from = direction === "toTarget" ? this.#source : this.#target;
    const to = direction === "toTarget" ? this.#target : this.#source;
    const mode = this.#mode;
    switch (mode.kind) {
      case "pass":
      case "delay":
        this.#runInOrder(direction, () => {
          this.#write({ from, to, chunk });
        });
        return;
      case "freeze":
        // The chunk was read before the pause took effect: put it back.
        from.pause();
        from.unshift(chunk);
        return;
      case "cut":
        this.reset();
        return;
      case "halfOpen":
        if (mode.dropped === direction) this.#hasDropped = true;
        else this.#write({ from, to, chunk });
        return;
      case "resetAfter":
        this.#forwardUpTo(mode.bytes, { from, to, chunk });
    }
  }

  #forwardUpTo(maxBytes: number, transfer: Transfer): void {
    const remaining = maxBytes - this.#forwardedBytes;
    this.#forwardedBytes += transfer.chunk.length;
    if (transfer.chunk.length <= remaining) {
      this.#write(transfer);
      return;
    }
    transfer.to.write(transfer.chunk.subarray(0, Math.max(remaining, 0)));
    setImmediate(() => {
      this.reset();
    });
  }

  #write(transfer: Transfer): void {
    const { from, to, chunk } = transfer;
    if (to.destroyed || to.write(chunk)) return;
    from.pause();
    to.once("drain", () => {
      if (this.#mode.kind !== "freeze") from.resume();
    });
  }

  /**
   * Runs an action immediately or after the delay of the current mode, but not
   * before an action that was delayed earlier, since a TCP stream is ordered.
   */
  #runInOrder(direction: Direction, action: () => void): void {
    const delayed = this.#delayed[direction];
    const delayMs = this.#mode.kind === "delay" ? this.#mode.delayMs : 0;
    if (delayMs === 0 && delayed.length === 0) {
      action();
      return;
    }
    delayed.push(action);
    setTimeout(() => {
      delayed.shift()?.();
    }, delayMs);
  }
}

interface Transfer {
  readonly from: Socket;
  readonly to: Socket;
  readonly chunk: Buffer;
}

/**
 * Resets a socket. A socket that has been ended is destroyed instead: Node.js
 * would keep its handle forever after a reset, and the process could not exit.
 */
function resetSocket(socket: Socket): void {
  if (socket.destroyed) return;
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
