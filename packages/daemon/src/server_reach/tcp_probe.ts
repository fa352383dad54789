/**
 * Checks whether a backend server accepts connections of this VM.
 *
 * @module
 */

import { Socket } from "node:net";
import type { RegisteredServer } from "../register/server_register.js";

/** Backend servers are a few milliseconds away. */
const CONNECT_TIMEOUT_MS = 300;

/** Resolves with whether the server accepted a connection; never rejects. */
export type ConnectionProbe = (server: RegisteredServer) => Promise<boolean>;

/**
 * Opens a connection and closes it.
 *
 * @example
 * ```ts
 * if (await probeConnection(server)) reach.recordConnection(server);
 * ```
 */
export function probeConnection(server: RegisteredServer): Promise<boolean> {
  return new Promise((resolve) => {
    const { host, port } = server.address;
    const socket = new Socket();
    const timer = setTimeout(() => {
      finish(false);
    }, CONNECT_TIMEOUT_MS);
    function finish(isAccepted: boolean): void {
      clearTimeout(timer);
      resolve(isAccepted);
      socket.destroy();
    }
    socket.once("connect", () => {
      finish(true);
    });
    socket.on("error", () => {
      finish(false);
    });
    try {
      socket.connect({ host, port });
    } catch {
      // The port is out of range.
      finish(false);
    }
  });
}
