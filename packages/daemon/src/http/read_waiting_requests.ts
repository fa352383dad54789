/**
 * Reads what clients have sent before a server stops listening.
 *
 * @module
 */

import type { Server } from "node:http";
import { setImmediate } from "node:timers/promises";

/** One to accept a connection, one to read its request, one to spare. */
const QUIET_POLLS = 3;
/** Clients that go on sending don't keep the listener open for longer. */
const LONGEST_READING_MS = 1000;

/**
 * Lets the event loop poll its sockets until nothing new comes in. In a process
 * that got no processor for a while, connections wait to be accepted and
 * requests to be read, and such connections would count as idle.
 */
export async function readWaitingRequests(server: Server): Promise<void> {
  let arrivals = 0;
  function noteArrival(): void {
    arrivals += 1;
  }
  server.on("connection", noteArrival);
  server.on("request", noteArrival);
  const endsAtMs = performance.now() + LONGEST_READING_MS;
  let quietPolls = 0;
  while (quietPolls < QUIET_POLLS && performance.now() < endsAtMs) {
    const before = arrivals;
    await setImmediate();
    quietPolls = arrivals === before ? quietPolls + 1 : 0;
  }
  server.off("connection", noteArrival);
  server.off("request", noteArrival);
}
