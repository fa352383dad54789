/**
 * An engine with few slots that rejects requests while it is full. It may repeat
 * some of its rejections where the response to the next request is expected.
 */

import { createServer } from "node:http";

/** As `fleetbench wire` shows it: a rejection names no attempt. */
const REJECTION = "HTTP/1.1 503 Service Unavailable\r\n" +
  "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

export class SheddingEngine {
  id;
  address;
  #options;
  #server;
  #sockets = new Set();
  #running = 0;
  #waiting = [];
  /** Channels on which a repeated rejection is still to come. */
  #lateExtras = new Set();
  /** Unix time of the start, in milliseconds. */
  born = Date.now();
  /** Share of the answers that are repeated. */
  extraShare = 0;
  /** Of the time in which answers are repeated. */
  answerCount = 0;
  extraCount = 0;
  /** Attempts on which work began. */
  ran = [];

  constructor(id, address, options) {
    this.id = id;
    this.address = address;
    this.#options = options;
  }

  async listen() {
    this.#server = createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 5000;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.setNoDelay(true);
      socket.once("close", () => this.#sockets.delete(socket));
    });
    const { host, port } = this.address;
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  exit() {
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  async #serve(request, response) {
    const { record, slots, queue, workMs } = this.#options;
    for await (const _ of request);
    const { socket } = request;
    const attemptId = request.headers["x-attempt-id"];
    if (this.#lateExtras.delete(socket)) {
      record.add(`${this.id}: repeats a rejection before it runs ${attemptId}`);
      socket.write(REJECTION);
    }
    const expected = request.headers["x-expected-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "x-instance-id": this.id }).end();
      return;
    }
    if (this.#running >= slots && this.#waiting.length >= queue) {
      this.#reject(socket);
      response.writeHead(503, { "x-not-executed": "1", "content-length": "0" })
        .end();
      return;
    }
    if (this.#running >= slots) {
      await new Promise((resolve) => this.#waiting.push(resolve));
    } else this.#running += 1;
    if (response.destroyed) {
      this.#leave();
      return;
    }
    this.ran.push(attemptId);
    record.add(`${this.id}: runs ${attemptId}`);
    await new Promise((resolve) => setTimeout(resolve, workMs));
    this.#leave();
    this.#countAnswer();
    if (response.destroyed) return;
    response.writeHead(200, {
      "x-attempt-id": attemptId,
      "x-response-signature": `${this.id}.${attemptId}`,
      "content-length": "4",
    });
    response.end("done");
  }

  #reject(socket) {
    this.#countAnswer();
    if (this.extraCount + 1 > this.extraShare * this.answerCount) return;
    this.extraCount += 1;
    this.#lateExtras.add(socket);
  }

  #countAnswer() {
    if (this.extraShare > 0) this.answerCount += 1;
  }

  /** The next waiting request takes the slot. */
  #leave() {
    const next = this.#waiting.shift();
    if (next === undefined) this.#running -= 1;
    else next();
  }
}
