/**
 * A TCP relay that injects faults, for tests.
 *
 * @module
 */

import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { Address } from "../../settings/settings.js";

/** How the relay treats the data that it receives. */
export type RelayMode =
  | "forward"
  /** Connections stay open, but all data is dropped. */
  | "halfOpen";

/** Relays connections to a target and injects faults into them. */
export class TestRelay {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #mode: RelayMode = "forward";
  #delayMs = 0;

  constructor(target: Address) {
    this.#server = createServer((clientSocket) => {
      this.#relay(clientSocket, connect(target));
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

  /** Closes all connections; new ones are still accepted. */
  cutConnections(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Sends the given bytes on every connection, in both directions. */
  inject(bytes: Buffer): void {
    for (const socket of this.#sockets) socket.write(bytes);
  }

  async close(): Promise<void> {
    this.cutConnections();
    const closed = once(this.#server, "close");
    this.#server.close();
    await closed;
  }

  #relay(clientSocket: Socket, serverSocket: Socket): void {
    this.#copy(clientSocket, serverSocket);
    this.#copy(serverSocket, clientSocket);
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
