import { expect } from "earl";
import fc from "fast-check";
import { createServer, type IncomingMessage, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { type BodyResult, readBody } from "./read_body.js";

const HEAD = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
const MAX_BYTES = 1_000_000;

describe("readBody", () => {
  let server: Server;
  let handle: (request: IncomingMessage, result: Promise<BodyResult>) => void;

  before(async () => {
    server = createServer((request, response) => {
      const result = readBody(request, MAX_BYTES);
      handle(request, result);
      void result.then(() => response.end());
    });
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
  });

  after(() => {
    server.closeAllConnections();
    server.close();
  });

  function open(): Socket {
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    socket.on("error", () => undefined);
    return socket;
  }

  function send(text: string): Promise<BodyResult> {
    return new Promise((resolve) => {
      const socket = open();
      handle = (_request, result) => {
        void result.then((body) => {
          socket.destroy();
          resolve(body);
        });
      };
      socket.write(text);
    });
  }

  it("reads the same body however it is cut", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.stringMatching(/^[a-z]{1,40}$/), { maxLength: 30 }),
        async (parts) => {
          const chunks = parts.map((part) =>
            `${part.length.toString(16)}\r\n${part}\r\n`
          );
          const result = await send(`${HEAD}${chunks.join("")}0\r\n\r\n`);
          expect(result).toEqual({ kind: "read", text: parts.join("") });
        },
      ),
      { numRuns: 30 },
    );
  });

  it("takes no more small chunks than the share of a connection", async () => {
    let received = 0;
    handle = (request) => {
      request.on("data", () => {
        received += 1;
      });
    };
    const socket = open();
    socket.write(HEAD + "1\r\nx\r\n".repeat(300_000));
    await sleep(1000);
    socket.destroy();
    // The burst of one read of 64 kB, and 8,000 a second.
    expect(received).toBeLessThanOrEqual(20_000);
  });
});
