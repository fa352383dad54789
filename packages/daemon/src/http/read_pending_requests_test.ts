import { expect } from "earl";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, describe, it } from "node:test";
import { Worker } from "node:worker_threads";
import { readPendingRequests } from "./read_pending_requests.js";

const CLIENTS = 300;
const WAIT_TIMEOUT_MS = 700;

/** Sends a request on each of its connections; notifies when all are sent. */
const CLIENT_SCRIPT = `
  const { connect } = require("node:net");
  const { workerData: { port, clients, shared } } = require("node:worker_threads");
  const sent = new Int32Array(shared);
  for (let n = 0; n < clients; n++) {
    const socket = connect(port, "127.0.0.1", () => {
      socket.write("GET / HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n", () => {
        if (Atomics.add(sent, 0, 1) + 1 === clients) Atomics.notify(sent, 0);
      });
    });
    socket.on("error", () => undefined);
  }
`;

describe("readPendingRequests", () => {
  let server: Server;
  let requests = 0;

  before(async () => {
    server = createServer((_request, response) => {
      requests += 1;
      response.end();
    });
    await new Promise<void>((resolve) => {
      server.listen({ port: 0, host: "127.0.0.1", backlog: 511 }, resolve);
    });
  });

  after(() => {
    server.close();
    server.closeAllConnections();
  });

  it("reads all requests that were sent while the event loop was blocked", async () => {
    const shared = new SharedArrayBuffer(4);
    const sent = new Int32Array(shared);
    const { port } = server.address() as AddressInfo;
    const worker = new Worker(CLIENT_SCRIPT, {
      eval: true,
      workerData: { port, clients: CLIENTS, shared },
    });
    // `Atomics.wait` blocks the event loop while the clients send.
    while (Atomics.load(sent, 0) < CLIENTS) {
      if (
        Atomics.wait(sent, 0, Atomics.load(sent, 0), WAIT_TIMEOUT_MS) ===
          "timed-out"
      ) {
        break;
      }
    }
    const sentCount = Atomics.load(sent, 0);
    await readPendingRequests(server);
    expect(sentCount > 0).toEqual(true);
    expect(requests >= sentCount).toEqual(true);
    await worker.terminate();
  });
});
