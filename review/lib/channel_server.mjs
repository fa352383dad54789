// HTTP/1.1 server that serves one request at a time on a channel, and lets a
// stand-in write any bytes to it.
import { createServer } from "node:net";

export class ChannelServer {
  #server;
  #sockets = new Set();
  port = 0;

  /** @param serve Called with (request, channel), one request at a time */
  constructor(serve) {
    this.#server = createServer((socket) => {
      this.#sockets.add(socket);
      socket.setNoDelay(true);
      socket.once("close", () => this.#sockets.delete(socket));
      socket.on("error", () => undefined);
      this.#handle(socket, serve);
    });
  }

  listen(port = 0, host = "127.0.0.1") {
    return new Promise((done, fail) => {
      this.#server.once("error", fail);
      this.#server.listen(port, host, () => {
        this.port = this.#server.address().port;
        done();
      });
    });
  }

  get channelCount() {
    return this.#sockets.size;
  }

  closeChannels(isReset = false) {
    for (const socket of this.#sockets) {
      if (isReset) socket.resetAndDestroy();
      else socket.destroy();
    }
  }

  close() {
    this.#server.close();
    this.closeChannels();
  }

  #handle(socket, serve) {
    let pending = Buffer.alloc(0);
    let isBusy = false;
    const channel = { socket, state: {} };
    const next = async () => {
      if (isBusy) return;
      const parsed = parse(pending);
      if (parsed === undefined) return;
      pending = pending.subarray(parsed.length);
      isBusy = true;
      try {
        await serve(parsed.request, channel);
      } finally {
        isBusy = false;
      }
      await next();
    };
    socket.on("data", (chunk) => {
      pending = Buffer.concat([pending, chunk]);
      void next();
    });
  }
}

function parse(bytes) {
  const end = bytes.indexOf("\r\n\r\n");
  if (end < 0) return undefined;
  const [first, ...lines] = bytes.subarray(0, end).toString("latin1")
    .split("\r\n");
  const headers = {};
  for (const line of lines) {
    const colon = line.indexOf(":");
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
  }
  const bodyLength = Number(headers["content-length"] ?? 0);
  const length = end + 4 + bodyLength;
  if (bytes.length < length) return undefined;
  const [method, path] = first.split(" ");
  const body = bytes.subarray(end + 4, length).toString("latin1");
  return { length, request: { method, path, headers, body } };
}

export function respond(channel, status, headers, body) {
  const lines = Object.entries({
    "Content-Length": Buffer.byteLength(body),
    ...headers,
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  const bytes = `HTTP/1.1 ${status} X\r\n${lines.join("")}\r\n${body}`;
  channel.socket.write(bytes);
  return bytes;
}
