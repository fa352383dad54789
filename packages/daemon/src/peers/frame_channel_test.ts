import { expect } from "earl";
import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { FrameChannel } from "./frame_channel.js";
import { encodeFrame } from "./frame_codec.js";

const MAX_BUFFERED_BYTES = 100_000;
const MAX_FRAMES = 100_000;

describe("FrameChannel", () => {
  it("closes the connection if the peer doesn't read", async () => {
    const server = createServer({ pauseOnConnect: true });
    server.listen({ host: "127.0.0.1", port: 0 });
    await once(server, "listening");
    const bound = server.address();
    if (bound === null || typeof bound === "string") throw new TypeError();
    const accepted = once(server, "connection");
    const socket = connect({ host: "127.0.0.1", port: bound.port });
    const [acceptedSocket] = await accepted as [Socket];
    const channel = new FrameChannel(socket, {
      maxBufferedBytes: MAX_BUFFERED_BYTES,
    });
    const frame = encodeFrame({ type: "filler", text: "x".repeat(10_000) });
    let sentFrames = 0;
    let mostBufferedBytes = 0;
    while (channel.send(frame) && sentFrames < MAX_FRAMES) {
      sentFrames++;
      mostBufferedBytes = Math.max(mostBufferedBytes, socket.writableLength);
      await nextTurn();
    }
    expect(channel.closeReason?.kind).toEqual("notReading");
    expect(mostBufferedBytes).toBeLessThanOrEqual(
      MAX_BUFFERED_BYTES + frame.length,
    );
    acceptedSocket.destroy();
    server.close();
  });

  it("doesn't handle all frames of one read in the same turn", async () => {
    const server = createServer();
    server.listen({ host: "127.0.0.1", port: 0 });
    await once(server, "listening");
    const bound = server.address();
    if (bound === null || typeof bound === "string") throw new TypeError();
    const accepted = once(server, "connection");
    const socket = connect({ host: "127.0.0.1", port: bound.port });
    const [acceptedSocket] = await accepted as [Socket];
    const channel = new FrameChannel(socket, {
      maxBufferedBytes: MAX_BUFFERED_BYTES,
    });
    const frames = 20_000;
    acceptedSocket.write(
      Buffer.concat(Array.from({ length: frames }, () => encodeFrame(7))),
    );
    let turnFrames = 0;
    let mostTurnFrames = 0;
    for (let received = 0; received < frames; received++) {
      expect(await channel.receive()).toEqual(7);
      if (turnFrames === 0) {
        setImmediate(() => {
          turnFrames = 0;
        });
      }
      turnFrames += 1;
      mostTurnFrames = Math.max(mostTurnFrames, turnFrames);
    }
    expect(mostTurnFrames).toBeLessThan(1000);
    socket.destroy();
    acceptedSocket.destroy();
    server.close();
  });
});
