import { expect } from "earl";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { SlicedReads } from "./sliced_reads.js";

const BYTES = 100_000;
const MAX_SLICE_BYTES = 4096;

describe(SlicedReads.name, () => {
  const server = createServer();
  let client: Socket;
  let socket: Socket;
  let received: Buffer[];
  let isPaused: boolean;
  let slices: SlicedReads;

  beforeEach(async () => {
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const accepted = once(server, "connection");
    client = connect((server.address() as AddressInfo).port, "127.0.0.1");
    [socket] = await accepted as [Socket];
    received = [];
    isPaused = false;
    socket.on("data", (data: Buffer) => received.push(data));
    slices = new SlicedReads(socket, () => isPaused);
  });

  afterEach(() => {
    client.destroy();
    socket.destroy();
    server.close();
  });

  it("hands on everything in order and in small slices", async () => {
    const bytes = Buffer.from(
      Array.from({ length: BYTES }, (_, index) => index % 251),
    );
    client.end(bytes);
    await once(socket, "end");
    expect(Buffer.concat(received).equals(bytes)).toEqual(true);
    expect(Math.max(...received.map(({ length }) => length)))
      .toBeLessThanOrEqual(MAX_SLICE_BYTES);
  });

  // Guards against a read that is parsed in one go whatever is paused meanwhile.
  it("hands on one slice before a pause and the rest after it", async () => {
    socket.once("data", () => {
      isPaused = true;
    });
    client.end(Buffer.alloc(BYTES));
    await sleep(100);
    expect(received.length).toEqual(1);
    isPaused = false;
    slices.start();
    await once(socket, "end");
    expect(Buffer.concat(received).length).toEqual(BYTES);
  });

  it("hands on nothing after its end", async () => {
    socket.once("data", () => {
      slices.end();
    });
    client.end(Buffer.alloc(BYTES));
    await sleep(100);
    expect(received.length).toEqual(1);
  });
});
