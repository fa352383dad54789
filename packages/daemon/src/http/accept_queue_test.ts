import { expect } from "earl";
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { describe, it } from "node:test";
import { AcceptQueue } from "./accept_queue.js";

describe(AcceptQueue.name, () => {
  // Guards against readiness while the client port takes nothing.
  it("is behind while connections wait for over two seconds", () => {
    let nowMs = 0;
    let queued = 3;
    const server = createServer();
    const queue = new AcceptQueue(server, {
      nowMs: () => nowMs,
      readQueued: () => queued,
    });
    queue.sample();
    expect(queue.isBehind).toEqual(false);
    nowMs = 1900;
    server.emit("connection");
    server.emit("connection");
    queue.sample();
    expect(queue.isBehind).toEqual(false);
    nowMs = 2000;
    expect(queue.isBehind).toEqual(true);
    server.emit("connection");
    expect(queue.isBehind).toEqual(false);
    queue.sample();
    nowMs = 4000;
    expect(queue.isBehind).toEqual(true);
    queued = 0;
    queue.sample();
    expect(queue.isBehind).toEqual(false);
  });

  // Guards against a wrong place in the kernel's structure.
  it("reads the length of the queue from the kernel", async () => {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    let nowMs = 0;
    const queue = new AcceptQueue(server, { nowMs: () => nowMs });
    const clients = [1, 2, 3].map(() => connect(port, "127.0.0.1"));
    await Promise.all(clients.map((client) => once(client, "connect")));
    // At most one was accepted in the turn in which the clients connected.
    queue.sample();
    nowMs = 2000;
    expect(queue.isBehind).toEqual(true);
    for (const client of clients) client.destroy();
    server.close();
  });
});
