import { expect } from "earl";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { type ConnectionRead, ConnectionReads } from "./connection_reads.js";
import { createSmallChunkLimiter } from "./small_chunk_limiter.js";

const HEAD = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
const FLOOD = "1\r\nx\r\n".repeat(20_000);
/** One read of the HTTP library. */
const MAX_READ_CHUNKS = 65_536 / 6;
const MAX_READ_BYTES = 65_536;
const MAX_TURN_BYTES = 4 * 1024 * 1024;
const BODY_COUNT = 32;
const BODY_BYTES = 2_000_000;
const SETTLE_MS = 100;

describe("ConnectionReads", () => {
  let server: Server;
  let reads: ConnectionReads;
  let sockets: Socket[];
  /** Chunks by turn of the event loop. */
  let turns: number[];
  let chunksInTurn: number;

  beforeEach(async () => {
    sockets = [];
    turns = [];
    chunksInTurn = 0;
    reads = new ConnectionReads(
      createSmallChunkLimiter(() => performance.now()),
    );
    server = createServer((message) => {
      message.on("error", () => undefined);
      message.on("data", (chunk: Buffer) => {
        countChunk();
        reads.of(message.socket).countChunk(chunk.length);
      });
    });
    reads.watch(server);
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
  });

  afterEach(() => {
    for (const socket of sockets) socket.destroy();
    server.closeAllConnections();
    server.close();
  });

  function countChunk(): void {
    if (chunksInTurn === 0) {
      setImmediate(() => {
        turns.push(chunksInTurn);
        chunksInTurn = 0;
      });
    }
    chunksInTurn += 1;
  }

  function open(text: string): Socket {
    const { port } = server.address() as AddressInfo;
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => undefined);
    socket.write(text);
    sockets.push(socket);
    return socket;
  }

  // Guards against pauses that the HTTP library undoes.
  it("reads nothing more from a connection that is paused", async () => {
    let received = 0;
    server.once("request", (message) => {
      reads.of(message.socket).pause("memory");
      message.on("data", () => {
        received += 1;
      });
    });
    const socket = open(HEAD);
    await sleep(SETTLE_MS);
    socket.write("1\r\nx\r\n");
    await sleep(SETTLE_MS);
    expect(received).toEqual(0);
  });

  it("reads nothing from a connection that is paused as it is accepted", async () => {
    let requests = 0;
    server.on("request", () => {
      requests += 1;
    });
    server.once("connection", (socket) => {
      const connection = reads.of(socket);
      connection.pause("turn");
      setTimeout(() => {
        expect(requests).toEqual(0);
        connection.resume("turn");
      }, 2 * SETTLE_MS);
    });
    open(HEAD);
    await sleep(SETTLE_MS);
    expect(requests).toEqual(0);
    await sleep(2 * SETTLE_MS);
    expect(requests).toEqual(1);
  });

  it("goes on with a connection once no reason to pause is left", async () => {
    let received = 0;
    server.once("request", (message) => {
      const connection = reads.of(message.socket);
      connection.pause("memory");
      connection.pause("pipelining");
      connection.resume("memory");
      message.on("data", () => {
        received += 1;
      });
      setTimeout(() => {
        expect(received).toEqual(0);
        connection.resume("pipelining");
      }, 2 * SETTLE_MS);
    });
    const socket = open(HEAD);
    await sleep(SETTLE_MS);
    socket.write("1\r\nx\r\n");
    await sleep(3 * SETTLE_MS);
    expect(received).toEqual(1);
  });

  it("reads one flooding connection a turn, however many are readable", async () => {
    for (let n = 0; n < 32; n++) open(HEAD + FLOOD);
    while (turns.length < 32) await sleep(10);
    // A turn may hold the end of a connection's share and another's whole read.
    expect(Math.max(...turns)).toBeLessThanOrEqual(2 * MAX_READ_CHUNKS);
  });

  it("takes a bounded number of bytes a turn, however many bodies arrive", async () => {
    let bytesInTurn = 0;
    let mostBytes = 0;
    let received = 0;
    const paused: ConnectionRead[] = [];
    server.on("request", (message) => {
      const connection = reads.of(message.socket);
      connection.pause("memory");
      paused.push(connection);
      message.on("data", (chunk: Buffer) => {
        if (bytesInTurn === 0) setImmediate(() => (bytesInTurn = 0));
        bytesInTurn += chunk.length;
        received += chunk.length;
        mostBytes = Math.max(mostBytes, bytesInTurn);
      });
    });
    const head =
      `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`;
    for (let n = 0; n < BODY_COUNT; n++) open(head + "x".repeat(BODY_BYTES));
    while (paused.length < BODY_COUNT) await sleep(10);
    // The bodies wait in the kernel, and become readable in the same turn.
    await sleep(5 * SETTLE_MS);
    for (const connection of paused) connection.resume("memory");
    while (received < BODY_COUNT * BODY_BYTES) await sleep(10);
    expect(mostBytes).toBeLessThanOrEqual(MAX_TURN_BYTES + MAX_READ_BYTES);
  });
});
