/**
 * Bounds what requests without a body, such as health checks and metrics
 * scrapes, may cost.
 *
 * @module
 */

import type {
  IncomingMessage,
  RequestListener,
  Server,
  ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { limitReceiveBuffer } from "./connection_resets.js";
import type { ConnectionReads } from "./connection_reads.js";
import { PipelinedRequests } from "./pipelined_requests.js";

/** For a whole request. */
const REQUEST_TIMEOUT_MS = 5000;
/** Without any byte received, or sent of a response. */
const IDLE_TIMEOUT_MS = 10_000;
/** Holds any such request; what is read at once is parsed at once. */
const RECEIVE_BUFFER_BYTES = 8192;

/**
 * Serves the requests of each connection one at a time. The body of a request
 * is dropped, and its connection closed after the response.
 *
 * @example
 * ```ts
 * const server = createServer();
 * limitSmallRequests(server, reads, (_request, response) => response.end());
 * ```
 */
export function limitSmallRequests(
  server: Server,
  reads: ConnectionReads,
  listener: RequestListener,
): void {
  const connections = new WeakMap<Socket, PipelinedRequests>();
  reads.watch(server);
  server.headersTimeout = REQUEST_TIMEOUT_MS;
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  server.timeout = IDLE_TIMEOUT_MS;
  server.once("listening", () => {
    limitReceiveBuffer(server, RECEIVE_BUFFER_BYTES);
  });
  server.on("request", (message: IncomingMessage, response: ServerResponse) => {
    const requests = requestsOf(message.socket);
    requests.add(() => {
      dropBody(message, response, reads);
      response.once("close", () => {
        requests.end();
      });
      listener(message, response);
    });
  });

  function requestsOf(socket: Socket): PipelinedRequests {
    const known = connections.get(socket);
    if (known !== undefined) return known;
    const requests = new PipelinedRequests(socket, reads.of(socket), {
      maxHandled: () => 1,
    });
    connections.set(socket, requests);
    return requests;
  }
}

/** The connection is closed, so that no more of the body is read. */
function dropBody(
  message: IncomingMessage,
  response: ServerResponse,
  reads: ConnectionReads,
): void {
  const { headers, socket } = message;
  const hasBody = headers["transfer-encoding"] !== undefined ||
    (headers["content-length"] ?? "0") !== "0";
  message.on("error", () => undefined);
  if (!hasBody) {
    message.resume();
    return;
  }
  const connection = reads.of(socket);
  message.on("data", (chunk: Buffer) => {
    if (connection.countChunk(chunk.length) === "wasteful") socket.destroy();
  });
  response.setHeader("connection", "close");
}
