// A small deployment: configuration, stage servers, model engines and plain
// services that follow PROTOCOL.md.
import { ChannelServer, respond } from "./channel_server.mjs";
import { sleep } from "./system.mjs";

export const HOST = "api.example";
export const KEY = "key-of-shop";

const BATCHING = {
  "slots": 1,
  "queue": 2,
  "batch": 8,
  "call-ms": 240,
  "item-ms": 26,
  "headroom-mb": 9.6,
  "handle-s": 4,
  "link-mbps": 10000,
};

export function makeConfiguration(overrides = {}) {
  const stages = [{ service: "soci", after: [], bytes: 8000 }];
  return {
    version: 10,
    routes: [
      route("emissione", {
        "route-kind": "unsafe",
        "service": "registro",
        "timeout-ms": 600,
        "target-latency-ms": 121,
      }),
      route("verifica", {
        "route-kind": "safe",
        "service": "registro",
        "timeout-ms": 600,
        "target-latency-ms": 121,
        "max-attempts": 2,
      }),
      route("nota", {
        "route-kind": "streaming",
        "timeout-ms": 15000,
        "target-latency-ms": 2000,
        stages,
      }),
      route("dossier", {
        "route-kind": "streaming",
        "timeout-ms": 15000,
        "target-latency-ms": 2000,
        "max-attempts": 2,
        "can-resume": true,
        stages,
      }),
    ],
    services: [
      service("modello", 500),
      service("registro", 48),
      service("soci", 500, { pieces: BATCHING }),
    ],
    limits: {
      "header-bytes": 16_384,
      "body-bytes": 4_194_304,
      "header-ms": 3000,
      "idle-ms": 15_000,
    },
    tenants: [{ "name": "shop", "api-keys": [KEY], "priority": 1 }],
    ...overrides,
  };
}

export function route(name, overrides) {
  return {
    name,
    "host": HOST,
    "path-prefix": `/${name}/`,
    "service": "modello",
    "priority": 1,
    "max-attempts": 1,
    "public": false,
    "sticky": overrides["route-kind"] === "streaming",
    "can-resume": false,
    ...overrides,
  };
}

function service(name, connectionLimit, overrides = {}) {
  return {
    name,
    "health-path": "/health",
    "connection-limit": connectionLimit,
    "cold-start-s": 0,
    "cold-per-s": 0,
    ...overrides,
  };
}

export const ENGINE_BORN = Date.now() - 600_000;

export function serverEntry(serviceName, port, overrides = {}) {
  return {
    "service": serviceName,
    "address": `127.0.0.1:${port}`,
    "zone": "palermo",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "born": ENGINE_BORN,
    "cold-remaining-ms": 0,
    "sequence": 1,
    ...overrides,
  };
}

/** An impairment lasts 5 s, as in the site file, and comes again. */
const TROUBLE_MS = 5000;
const PAUSE_MS = 1000;
const startedAtMs = performance.now();

function isTroubleTime() {
  const sinceMs = performance.now() - startedAtMs;
  return sinceMs % (TROUBLE_MS + PAUSE_MS) < TROUBLE_MS;
}

/** Handles that any stage server made, with the piece that each is of. */
export const made = new Map();

/** Runs one call at a time on a channel; a new handle for each piece. */
export class StageServer {
  id;
  calls = 0;
  /** Called with the channel as a stage call arrives. */
  onCall = () => undefined;
  /** Called with the channel and the bytes of a 200 to a stage call. */
  onAnswered = () => undefined;
  #record;
  #server = new ChannelServer((request, channel) =>
    this.#serve(request, channel)
  );
  #lastHandle = 0;
  #work = Promise.resolve();

  constructor(id, record) {
    this.id = id;
    this.#record = record;
  }

  get port() {
    return this.#server.port;
  }

  listen() {
    return this.#server.listen();
  }

  close() {
    this.#server.close();
  }

  async #serve(request, channel) {
    const expected = request.headers["x-expected-instance"];
    if (expected !== undefined && expected !== this.id) {
      respond(channel, 421, { "X-Not-Executed": "1" }, "");
      return;
    }
    if (request.path === "/api/stage-free") {
      respond(channel, 200, { "Content-Type": "application/json" }, "{}");
      return;
    }
    if (request.path !== "/api/stage-run") {
      respond(channel, 200, { "X-Instance-Id": this.id }, "");
      return;
    }
    const { items } = JSON.parse(request.body);
    this.calls += 1;
    const number = this.calls;
    this.#record.add(
      `${this.id} gets call ${number} on channel ` +
        `${channel.socket.remotePort}: ${items.map(formatPiece).join()}`,
    );
    this.onCall(channel);
    // One slot.
    const turn = this.#work;
    let endTurn;
    this.#work = new Promise((done) => endTurn = done);
    await turn;
    await sleep(BATCHING["call-ms"] + BATCHING["item-ms"] * items.length);
    endTurn();
    const results = items.map((item) => {
      this.#lastHandle += 1;
      const handle = `127.0.0.1:${this.port}/${this.id}${this.#lastHandle}`;
      made.set(handle, item);
      return { handle };
    });
    if (channel.socket.destroyed) return;
    const bytes = respond(channel, 200, {
      "Content-Type": "application/json",
      "X-Server-Load": "0,0,1",
    }, JSON.stringify({ items: results }));
    this.#record.add(
      `${this.id} answers call ${number}: ` +
        results.map(({ handle }) => handle).join(),
    );
    this.onAnswered(channel, bytes);
  }
}

export function formatPiece({ id, stage, piece }) {
  return `${id}/${stage}/${piece}`;
}

/** Streams events; keeps a record of its runs and of their inputs. */
export class ModelEngine {
  id;
  runs = [];
  events = 4;
  gapMs = 20;
  /** Of so many answers, at most one has no length and ends with its channel. */
  answersPerUnframed = Infinity;
  /** Called with the channel as a request arrives. */
  onRequest = () => undefined;
  /** Called with the channel and the bytes of a complete answer. */
  onAnswered = () => undefined;
  #record;
  #server = new ChannelServer((request, channel) =>
    this.#serve(request, channel)
  );

  constructor(id, record) {
    this.id = id;
    this.#record = record;
  }

  get port() {
    return this.#server.port;
  }

  listen() {
    return this.#server.listen();
  }

  close() {
    this.#server.close();
  }

  async #serve(request, channel) {
    const { headers } = request;
    const expected = headers["x-expected-instance"];
    const id = headers["x-attempt-id"];
    if (expected !== undefined && expected !== this.id) {
      respond(channel, 421, { "X-Not-Executed": "1" }, "");
      return;
    }
    if (request.method === "GET") {
      respond(channel, 200, { "X-Instance-Id": this.id }, "");
      return;
    }
    const inputs = (headers["x-inputs"] ?? "").split(",").filter(Boolean);
    const { socket } = channel;
    this.#record.add(
      `${this.id} gets ${id} on channel ${socket.remotePort}` +
        inputs.map((handle) =>
          `, input ${handle}=${formatPiece(made.get(handle) ?? {})}`
        ).join(""),
    );
    this.onRequest(channel);
    const run = { id, inputs, startedAtMs: Infinity, endedAtMs: Infinity };
    this.runs.push(run);
    await sleep(100 + 25 * (this.runs.length % 8));
    if (socket.destroyed) {
      this.#record.add(`${this.id} drops ${id} before its first token`);
      return;
    }
    // A request starts to run with its first token.
    run.startedAtMs = performance.now();
    this.#record.add(`${this.id} runs ${id}`);
    run.isUnframed = isTroubleTime() &&
      this.runs.length % this.answersPerUnframed === 0;
    const framing = run.isUnframed
      ? "Connection: close"
      : "Transfer-Encoding: chunked";
    const frame = run.isUnframed ? (text) => text : toChunk;
    const parts = [
      `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\n` +
      `X-Response-Signature: signed-by-${this.id}\r\n` +
      "X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n" +
      `${framing}\r\n\r\n`,
    ];
    socket.write(parts[0]);
    const first = Number(headers["last-event-id"] ?? 0) + 1;
    for (let event = first; event <= this.events; event++) {
      parts.push(frame(`id: ${event}\ndata: ${id}\n\n`));
      socket.write(parts.at(-1));
      await sleep(this.gapMs);
      if (socket.destroyed) break;
    }
    run.endedAtMs = performance.now();
    this.#record.add(
      `${this.id} ends ${id}` +
        (socket.destroyed ? ", as its channel was closed" : ""),
    );
    if (socket.destroyed) return;
    run.isComplete = true;
    if (run.isUnframed) {
      socket.end();
      return;
    }
    parts.push(toChunk(""));
    socket.write(parts.at(-1));
    this.onAnswered(channel, parts.join(""));
  }
}

function toChunk(text) {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Under 3 in 100 of the answers of the servers that it affects. */
const ANSWERS_PER_EXTRA = 34;

/**
 * Lets a server send some answers a second time, as the next request arrives on
 * their channel.
 *
 * @param setRequestListener Called with the listener for each request
 */
export function sendExtraAnswers(server, record, setRequestListener) {
  let answers = 0;
  let extra;
  server.onAnswered = (channel, bytes) => {
    if (!isTroubleTime()) return;
    answers += 1;
    if (answers % ANSWERS_PER_EXTRA === 0) extra = { channel, bytes };
  };
  setRequestListener((channel) => {
    if (extra === undefined || extra.channel.socket !== channel.socket) return;
    record.add(`${server.id} sends an extra answer: that of an earlier call`);
    channel.socket.write(extra.bytes);
    extra = undefined;
  });
}
