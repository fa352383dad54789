/** Engines: plain services and model engines with streams. */

import { createServer } from "node:http";

export class Engine {
  id;
  address;
  #server;
  #sockets = new Set();
  #options;
  /** Unix time of the start, in milliseconds. */
  born = Date.now();
  /**
   * Each `{ attemptId, atMs, beganAtMs, endedAtMs, end }` of a request that was
   * run; a stream has begun with its first event.
   */
  runs = [];

  /**
   * @param options `workMs` of a plain answer; `events`, `eventMs` and `firstMs`
   *   (until the first event) of a stream
   */
  constructor(id, address, options) {
    this.id = id;
    this.address = address;
    this.#options = options;
  }

  async listen() {
    const { host, port } = this.address;
    this.#server = createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 5000;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.setNoDelay(true);
      socket.once("close", () => this.#sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** The process ends: nothing listens, and all channels are closed. */
  exit() {
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  async #serve(request, response) {
    const { record } = this.#options;
    for await (const _ of request);
    const attemptId = request.headers["x-attempt-id"];
    const expected = request.headers["x-expected-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "x-instance-id": this.id }).end();
      return;
    }
    if (request.url === "/health") {
      response.writeHead(200, { "x-instance-id": this.id }).end();
      return;
    }
    if (attemptId === undefined) {
      response.writeHead(400, { "x-not-executed": "1" }).end();
      return;
    }
    const run = {
      attemptId,
      engine: this.id,
      atMs: record.nowMs(),
      after: request.headers["last-event-id"],
      beganAtMs: undefined,
      endedAtMs: undefined,
      end: undefined,
    };
    this.runs.push(run);
    record.add(
      `${this.id}: runs ${attemptId}` +
        (run.after === undefined ? "" : ` after event ${run.after}`),
    );
    const finish = (end) => {
      if (run.end !== undefined) return;
      run.end = end;
      run.endedAtMs = record.nowMs();
      record.add(`${this.id}: ${end} ${attemptId}`);
    };
    response.once("close", () => {
      finish(response.writableFinished ? "completed" : "lost its channel for");
    });
    const headers = {
      "x-attempt-id": attemptId,
      "x-response-signature": `${this.id}.${attemptId}`,
    };
    if (this.#options.events === undefined) {
      await this.#answer(response, headers);
    } else await this.#stream(response, headers, run);
  }

  async #answer(response, headers) {
    await sleepMs(this.#options.workMs);
    if (response.destroyed) return;
    response.writeHead(200, { ...headers, "content-length": "4" });
    response.end("done");
  }

  async #stream(response, headers, run) {
    const { events, eventMs, firstMs, record } = this.#options;
    await sleepMs(firstMs);
    if (response.destroyed) return;
    run.beganAtMs = record.nowMs();
    response.writeHead(200, {
      ...headers,
      "content-type": "text/event-stream",
      "x-weight-versions": "1",
    });
    for (let id = Number(run.after ?? 0) + 1; id <= events; id++) {
      if (response.destroyed) return;
      response.write(`id: ${id}\ndata: piece-${id}\n\n`);
      await sleepMs(eventMs);
    }
    response.end();
  }
}

function sleepMs(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
