/**
 * Reads requests that clients have sent before a server stops listening.
 *
 * @module
 */

import type { Server } from "node:http";
import { setImmediate } from "node:timers/promises";

/** One to accept a connection, one to read its request, and one in reserve. */
const IDLE_POLLS = 3;
/** Limits how long clients that keep sending can hold the listener open. */
const MAX_READ_MS = 1000;

/**
 * Lets the event loop poll its sockets until nothing new arrives. If the
 * process was not scheduled for a while, connections are still waiting to be
 * accepted and requests to be read, and these would be closed as idle.
 */
export async function readPendingRequests(
  server: Server,
  maxReadMs = MAX_READ_MS,
): Promise<void> {
  let arrivals = 0;
  function countArrival(): void {
    arrivals += 1;
  }
  server.on("connection", countArrival);
  server.on("request", countArrival);
  const endsAtMs = performance.now() + Math.min(maxReadMs, MAX_READ_MS);
  let idlePolls = 0;
  while (idlePolls < IDLE_POLLS && performance.now() < endsAtMs) {
    const arrivalsBefore = arrivals;
    await setImmediate();
    idlePolls = arrivals === arrivalsBefore ? idlePolls + 1 : 0;
  }
  server.off("connection", countArrival);
  server.off("request", countArrival);
}
