/**
 * Reads what has already arrived on the sockets of this process.
 *
 * @module
 */

import { setImmediate } from "node:timers/promises";

/**
 * Resolves after the event loop has polled every socket once more. While the
 * process is behind, a client's request and its disconnect wait in the socket
 * together, and only the request is read in the first poll.
 *
 * @example
 * ```ts
 * await pollSockets();
 * if (lifetime.end !== undefined) return;
 * ```
 */
export async function pollSockets(): Promise<void> {
  // The first turn ends the poll in progress, the second one follows a new poll.
  await setImmediate();
  await setImmediate();
}
