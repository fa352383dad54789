// Stand-in for the platform's metadata store: objects by kind and name, one
// revision counter, lists, watches and conditional writes.

import { createServer } from "node:http";

const DEFAULT_WAIT_MS = 1000;
const MAX_WAIT_MS = 30_000;

export class Store {
  #revision = 1;
  /** kind -> name -> object */
  #kinds = new Map();
  /** { kind, name, revision, deleted, object } in order */
  #history = [];
  #waiting = new Set();
  #isSilent = false;
  #server = createServer((request, response) => {
    void this.#handle(request, response);
  });

  constructor(host, port) {
    this.host = host;
    this.port = port;
    this.#server.keepAliveTimeout = 30_000;
  }

  async listen() {
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(this.port, this.host, resolve);
    });
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** From now on it is silent: what comes is taken and never answered. */
  pause() {
    this.#isSilent = true;
  }

  /** Answers again; the channels of before stay silent for good. */
  resume() {
    this.#isSilent = false;
  }

  /** Called by the operator and the engines; returns the time of the ack. */
  put(kind, name, specification) {
    const objects = this.#objectsOf(kind);
    const known = objects.get(name);
    this.#revision += 1;
    const object = {
      metadata: {
        name,
        revision: this.#revision,
        created: known?.metadata.created ?? this.#revision,
        finalizers: [],
        "delete-requested": false,
      },
      specification,
      status: null,
    };
    objects.set(name, object);
    this.#record({ kind, name, deleted: false, object });
    return Date.now();
  }

  remove(kind, name) {
    const objects = this.#objectsOf(kind);
    const known = objects.get(name);
    if (known === undefined) return Date.now();
    objects.delete(name);
    this.#revision += 1;
    const metadata = { ...known.metadata, revision: this.#revision };
    this.#record({
      kind,
      name,
      deleted: true,
      object: { ...known, metadata },
    });
    return Date.now();
  }

  names(kind) {
    return [...this.#objectsOf(kind).keys()];
  }

  #objectsOf(kind) {
    let objects = this.#kinds.get(kind);
    if (objects === undefined) {
      objects = new Map();
      this.#kinds.set(kind, objects);
    }
    return objects;
  }

  #record(event) {
    this.#history.push({ ...event, revision: this.#revision });
    for (const wake of [...this.#waiting]) wake();
  }

  async #handle(request, response) {
    const url = new URL(request.url, "http://store");
    const [, api, objects, kind, name, part] = url.pathname.split("/")
      .map(decodeURIComponent);
    if (this.#isSilent) return request.resume();
    if (api !== "api" || objects !== "objects" || !kind) {
      return reply(response, 404, {});
    }
    const body = await readJson(request);
    if (request.method === "GET" && name === undefined) {
      return url.searchParams.has("watch")
        ? this.#watch(kind, url, request, response)
        : this.#list(kind, url, response);
    }
    const known = this.#objectsOf(kind).get(name ?? body?.metadata?.name);
    switch (request.method) {
      case "GET":
        return known === undefined
          ? reply(response, 404, {})
          : reply(response, 200, known);
      case "POST":
        if (known !== undefined) return reply(response, 409, known);
        this.put(kind, body.metadata.name, body.specification);
        return reply(
          response,
          201,
          this.#objectsOf(kind).get(body.metadata.name),
        );
      case "PUT": {
        if (known === undefined) return reply(response, 404, {});
        const expected = body?.metadata?.revision;
        if (expected !== undefined && expected !== known.metadata.revision) {
          return reply(response, 409, known);
        }
        if (part !== "status") this.put(kind, name, body.specification);
        return reply(response, 200, this.#objectsOf(kind).get(name));
      }
      case "DELETE": {
        if (known === undefined) return reply(response, 404, {});
        const expected = url.searchParams.get("revision");
        if (expected !== null && Number(expected) !== known.metadata.revision) {
          return reply(response, 409, known);
        }
        this.remove(kind, name);
        return reply(response, 200, known);
      }
      default:
        return reply(response, 405, {});
    }
  }

  #list(kind, url, response) {
    const after = url.searchParams.get("after");
    const names = [...this.#objectsOf(kind).keys()].sort()
      .filter((name) => after === null || name > after);
    const page = names.slice(0, 500);
    reply(response, 200, {
      items: page.map((name) => this.#objectsOf(kind).get(name)),
      more: names.length > page.length,
      at: this.#revision,
    });
  }

  #watch(kind, url, request, response) {
    const from = Number(url.searchParams.get("watch"));
    const waitMs = Math.min(
      MAX_WAIT_MS,
      Number(url.searchParams.get("wait-ms") ?? DEFAULT_WAIT_MS),
    );
    const find = () =>
      this.#history.filter((event) =>
        event.kind === kind && event.revision > from
      );
    const finish = () => {
      clearTimeout(timer);
      this.#waiting.delete(wake);
      if (this.#isSilent) return;
      const events = find();
      reply(response, 200, {
        events: events.map(({ object, deleted }) => ({ object, deleted })),
        at: this.#revision,
      });
    };
    const wake = () => {
      if (find().length > 0) finish();
    };
    const timer = setTimeout(finish, waitMs);
    this.#waiting.add(wake);
    request.socket.once("close", () => {
      clearTimeout(timer);
      this.#waiting.delete(wake);
    });
    wake();
  }
}

async function readJson(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString();
  return text === "" ? undefined : JSON.parse(text);
}

function reply(response, status, value) {
  const text = JSON.stringify(value);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  }).end(text);
}
