// Stand-in for an engine that answers plain requests: it has slots and a short
// queue, rejects what doesn't fit, checks the instance that is expected, and
// stops at the deadline that it was given.

import { createServer } from "node:http";

export class Engine {
  #running = 0;
  #queue = [];
  #coldUntil = 0;
  /** Which of its lives this is; calls of an earlier one end nowhere. */
  #life = 0;
  #sockets = new Set();
  #server = createServer((request, response) => {
    this.#handle(request, response);
  });

  /**
   * @param options id, service, zone, host, port, slots, queue, workMs,
   *   onArrival({ id, at, engine, kind }) and, for streams, events and gapMs
   */
  constructor(options) {
    this.options = options;
    this.id = options.id;
    this.#server.keepAliveTimeout = 30_000;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
      socket.on("error", () => undefined);
    });
  }

  get address() {
    return `${this.options.host}:${this.options.port}`;
  }

  /** What it writes into the store about itself. */
  entry(fields = {}) {
    const { service, zone, slots } = this.options;
    return {
      service,
      address: this.address,
      zone,
      version: "v1",
      slots,
      state: "ready",
      "cold-remaining-ms": 0,
      sequence: 1,
      born: this.born,
      ...fields,
    };
  }

  async listen() {
    this.born = Date.now();
    const { host, port } = this.options;
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** The process ends: its channels are reset, and its port refuses. */
  crash() {
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
    this.#running = 0;
    this.#queue = [];
    this.#life += 1;
  }

  /** Starts again under its id and address, cold for so long. */
  async restart(coldMs) {
    this.#coldUntil = Date.now() + coldMs;
    await this.listen();
  }

  get coldMs() {
    return Math.max(0, this.#coldUntil - Date.now());
  }

  #answerHealth(response) {
    response.writeHead(200, {
      "x-instance-id": this.id,
      "x-server-load": `${this.#running},${this.#queue.length},` +
        `${this.options.slots}`,
      ...(this.coldMs > 0 && { "x-cold-ms": String(Math.ceil(this.coldMs)) }),
      "content-length": 0,
    }).end();
  }

  #handle(request, response) {
    if (request.method === "GET" && request.url === "/health") {
      this.options.onArrival?.({
        at: Date.now(),
        engine: this.id,
        kind: "health",
      });
      this.#answerHealth(response);
      return;
    }
    const id = request.headers["x-attempt-id"];
    const expected = request.headers["x-expected-instance"];
    if (expected !== undefined && expected !== this.id) {
      request.resume();
      response.writeHead(421, { "x-instance-id": this.id }).end();
      return;
    }
    const { slots, queue, onArrival } = this.options;
    const isFull = this.#running >= slots && this.#queue.length >= queue;
    onArrival?.({
      id,
      at: Date.now(),
      engine: this.id,
      kind: isFull ? "rejected" : "taken",
      deadlineMs: Number(request.headers["x-deadline-ms"]),
    });
    let bytes = 0;
    request.on("data", (chunk) => {
      bytes += chunk.length;
    });
    if (isFull) {
      request.once("end", () => {
        response.writeHead(503, {
          "x-attempt-id": id,
          "x-not-executed": "1",
          "content-length": 0,
        }).end();
      });
      return;
    }
    request.once("end", () => {
      this.#start({ id, request, response, bytes });
    });
  }

  #start(call) {
    if (this.#running >= this.options.slots) {
      this.#queue.push(call);
      call.response.once("close", () => {
        const index = this.#queue.indexOf(call);
        if (index >= 0) this.#queue.splice(index, 1);
      });
      return;
    }
    this.#running += 1;
    const { id, request, response } = call;
    const { workMs, onArrival, makeBody, events } = this.options;
    onArrival?.({ id, at: Date.now(), engine: this.id, kind: "runs" });
    const life = this.#life;
    let hasEnded = false;
    let timer;
    const end = () => {
      if (hasEnded) return;
      hasEnded = true;
      if (life !== this.#life) {
        clearInterval(timer);
        return;
      }
      clearInterval(timer);
      this.#running -= 1;
      const next = this.#queue.shift();
      if (next !== undefined) this.#start(next);
    };
    response.once("close", end);
    if (events !== undefined) {
      timer = this.#stream(call, end);
      return;
    }
    timer = setTimeout(() => {
      const body = makeBody?.(id) ?? Buffer.from(`answer to ${id}\n`);
      onArrival?.({ id, at: Date.now(), engine: this.id, kind: "ended" });
      response.writeHead(200, {
        "x-attempt-id": id,
        "x-response-signature": `signature.${this.id}.${id}`,
        "content-length": body.length,
      });
      sendPaced(response, body, this.options, end);
    }, typeof workMs === "function" ? workMs(request) : workMs);
  }

  /** Returns the timer that sends the events; the head comes with the first. */
  #stream({ id, request, response }, end) {
    const { events, firstMs = 0, gapMs, onArrival } = this.options;
    let next = Number(request.headers["last-event-id"] ?? 0) + 1;
    const firstAt = Date.now() + firstMs;
    const timer = setInterval(() => {
      if (Date.now() < firstAt) return;
      if (next > events) {
        onArrival?.({ id, at: Date.now(), engine: this.id, kind: "ended" });
        response.end();
        end();
        return;
      }
      if (!response.headersSent) {
        response.writeHead(200, {
          "content-type": "text/event-stream",
          "x-attempt-id": id,
          "x-response-signature": `signature.${this.id}.${id}`,
        });
      }
      response.write(`id: ${next}\ndata: piece ${next} of ${id}\n\n`);
      next += 1;
    }, gapMs);
    return timer;
  }
}

/** All at once, or in parts of `partBytes` every `partGapMs`. */
function sendPaced(response, body, { partBytes, partGapMs }, end) {
  if (partBytes === undefined) {
    response.end(body);
    end();
    return;
  }
  let sent = 0;
  const timer = setInterval(() => {
    response.write(body.subarray(sent, sent + partBytes));
    sent += partBytes;
    if (sent < body.length) return;
    clearInterval(timer);
    response.end();
    end();
  }, partGapMs);
  response.once("close", () => clearInterval(timer));
}
