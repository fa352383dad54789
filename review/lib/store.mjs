// Stand-in for the platform's store, as PROTOCOL.md tells it.
import http from "node:http";

const PAGE_SIZE = 500;

export class Store {
  #kinds = new Map();
  #events = [];
  #oldest = 100;
  #waiting = new Set();
  #server = http.createServer((request, response) => {
    this.#serve(request, response).catch(() => response.destroy());
  });
  revision = 100;
  /** Called for each call; may return "silent", "busy" or undefined. */
  fault = () => undefined;

  async listen() {
    await new Promise((done) => this.#server.listen(0, "127.0.0.1", done));
    this.#server.keepAliveTimeout = 5000;
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #objects(kind) {
    let objects = this.#kinds.get(kind);
    if (objects === undefined) this.#kinds.set(kind, objects = new Map());
    return objects;
  }

  get(kind, name) {
    return this.#objects(kind).get(name);
  }

  put(kind, name, specification) {
    const known = this.get(kind, name);
    const isSame = known !== undefined &&
      JSON.stringify(known.specification) === JSON.stringify(specification);
    if (isSame) return known;
    this.revision += 1;
    const object = {
      metadata: {
        name,
        revision: this.revision,
        created: known?.metadata.created ?? this.revision,
        finalizers: [],
        "delete-requested": false,
      },
      specification,
      status: {},
    };
    this.#objects(kind).set(name, object);
    this.#publish(kind, false, object);
    return object;
  }

  delete(kind, name) {
    const known = this.get(kind, name);
    if (known === undefined) return;
    this.revision += 1;
    this.#objects(kind).delete(name);
    this.#publish(kind, true, {
      ...known,
      metadata: { ...known.metadata, revision: this.revision },
    });
  }

  #publish(kind, deleted, object) {
    this.#events.push({ kind, revision: this.revision, deleted, object });
    for (const wake of [...this.#waiting]) wake();
  }

  async #serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    const fault = this.fault(request);
    if (fault === "silent") return;
    if (fault === "busy") {
      response.writeHead(503).end();
      return;
    }
    const url = new URL(request.url, "http://store");
    const [, , , kind, name, part] = url.pathname.split("/")
      .map(decodeURIComponent);
    if (request.method === "GET") {
      await this.#read(response, { kind, name, query: url.searchParams });
      return;
    }
    if (part === "status") {
      send(response, 200, this.get(kind, name));
      return;
    }
    this.#write(response, request.method, {
      kind,
      name,
      body: text === "" ? {} : JSON.parse(text),
      revision: url.searchParams.get("revision"),
    });
  }

  async #read(response, { kind, name, query }) {
    if (query.has("watch")) {
      await this.#watch(response, {
        kind,
        after: Number(query.get("watch")),
        waitMs: Number(query.get("wait-ms") ?? 0),
      });
      return;
    }
    if (name !== undefined) {
      const object = this.get(kind, name);
      send(response, object === undefined ? 404 : 200, object ?? {});
      return;
    }
    const after = query.get("after") ?? "";
    const rest = [...this.#objects(kind).values()]
      .filter(({ metadata }) => metadata.name > after)
      .sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1);
    send(response, 200, {
      items: rest.slice(0, PAGE_SIZE),
      more: rest.length > PAGE_SIZE,
      at: this.revision,
    });
  }

  async #watch(response, { kind, after, waitMs }) {
    const endsAtMs = performance.now() + waitMs;
    for (;;) {
      if (after < this.#oldest) {
        send(response, 410, {});
        return;
      }
      const events = this.#events
        .filter((event) => event.kind === kind && event.revision > after);
      const leftMs = endsAtMs - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        send(response, 200, {
          events: events.map(({ deleted, object }) => ({ deleted, object })),
          at: this.revision,
        });
        return;
      }
      await new Promise((done) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          done();
        };
        const timer = setTimeout(wake, leftMs);
        this.#waiting.add(wake);
      });
    }
  }

  #write(response, method, { kind, name, body, revision }) {
    const known = this.get(kind, name ?? body.metadata?.name);
    const expected = body.metadata?.revision ??
      (revision === null ? undefined : Number(revision));
    const isConflict = method === "POST"
      ? known !== undefined
      : expected !== undefined && expected !== known?.metadata.revision;
    if (isConflict) {
      send(response, known === undefined ? 404 : 409, known ?? {});
      return;
    }
    if (method === "DELETE") {
      this.delete(kind, name);
      send(response, 200, {});
      return;
    }
    const written = name ?? body.metadata.name;
    send(response, 200, this.put(kind, written, body.specification));
  }
}

function send(response, status, body) {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
