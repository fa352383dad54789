/**
 * A small TCP relay with faults, for tests.
 *
 * @module
 */

import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { Address } from "../../settings/settings.js";

/** What the relay does with bytes. */
export type RelayMode =
  | "forward"
  /** Connections stay open, and nothing passes. */
  | "halfOpen";

/** Sits between two networks. */
export class TestRelay {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #mode: RelayMode = "forward";
  #delayMs = 0;

  constructor(target: Address) {
    this.#server = createServer((near) => {
      this.#join(near, connect(target));
    });
  }

  async listen(port = 0): Promise<Address> {
    this.#server.listen({ host: "127.0.0.1", port });
    await once(this.#server, "listening");
    const bound = this.#server.address();
    if (bound === null || typeof bound === "string") throw new TypeError();
    return { host: "127.0.0.1", port: bound.port };
  }

  setMode(mode: RelayMode): void {
    this.#mode = mode;
  }

  setDelayMs(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /** Ends all connections; new ones are still taken. */
  cut(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Sends bytes of its own on every connection, in both directions. */
  inject(bytes: Buffer): void {
    for (const socket of this.#sockets) socket.write(bytes);
  }

  async close(): Promise<void> {
    this.cut();
    const closed = once(this.#server, "close");
    this.#server.close();
    await closed;
  }

  #join(near: Socket, far: Socket): void {
    this.#copy(near, far);
    this.#copy(far, near);
  }

  #copy(from: Socket, to: Socket): void {
    this.#sockets.add(from);
    from.on("error", () => undefined);
    from.on("close", () => {
      this.#sockets.delete(from);
      to.destroy();
    });
    from.on("data", (chunk) => {
      if (this.#mode === "halfOpen") return;
      if (this.#delayMs === 0) to.write(chunk);
      else setTimeout(() => to.write(chunk), this.#delayMs);
    });
  }
}
