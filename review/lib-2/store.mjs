/** The platform's store: objects by kind and name, lists and watches. */

import { createServer } from "node:http";
import { isDeepStrictEqual } from "node:util";

const PAGE_ITEMS = 500;
const HISTORY_MS = 20_000;

export class Store {
  #kinds = new Map();
  #events = [];
  #revision = 100;
  #oldest = 100;
  #waiting = new Set();
  #server;
  /** Changes an object as one caller sees it, where a link replaces an address. */
  view = (_source, _kind, object) => object;

  async listen({ host, port }) {
    this.#server = createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  close() {
    for (const wake of this.#waiting) wake();
    this.#server?.closeAllConnections();
    this.#server?.close();
  }

  /** Writes for an operator or a server. What changes nothing is no event. */
  put(kind, name, specification) {
    const known = this.#objects(kind).get(name);
    if (isDeepStrictEqual(known?.specification, specification)) return;
    const revision = this.#revision + 1;
    this.#change(kind, {
      metadata: {
        name,
        revision,
        created: known?.metadata.created ?? revision,
        finalizers: [],
        "delete-requested": false,
      },
      specification,
      status: known?.status ?? null,
    }, false);
  }

  remove(kind, name) {
    const known = this.#objects(kind).get(name);
    if (known !== undefined) this.#change(kind, known, true);
  }

  #objects(kind) {
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map());
    return this.#kinds.get(kind);
  }

  #change(kind, object, deleted) {
    this.#revision += 1;
    const revision = this.#revision;
    const stored = { ...object, metadata: { ...object.metadata, revision } };
    const { name } = stored.metadata;
    if (deleted) this.#objects(kind).delete(name);
    else this.#objects(kind).set(name, stored);
    const atMs = performance.now();
    this.#events.push({ kind, revision, deleted, object: stored, atMs });
    while (this.#events[0].atMs < atMs - HISTORY_MS) {
      this.#oldest = this.#events.shift().revision;
    }
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    for (const wake of waiting) wake();
  }

  async #serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    const source = request.socket.remoteAddress;
    const url = new URL(request.url, "http://store");
    const [, , , kind, name, part] = url.pathname.split("/");
    const query = url.searchParams;
    const send = (status, body) => {
      response.writeHead(status, { "content-type": "application/json" });
      response.end(JSON.stringify(body ?? {}));
    };
    const seen = (object) => this.view(source, kind, object);
    if (request.method !== "GET") {
      this.#write(request.method, { kind, name, part, query, text, send });
    } else if (query.has("watch")) {
      await this.#watch({ kind, query, send, seen, response });
    } else if (name !== undefined) {
      const object = this.#objects(kind).get(decodeURIComponent(name));
      send(object === undefined ? 404 : 200, object && seen(object));
    } else {
      const after = query.get("after") ?? "";
      const rest = [...this.#objects(kind).values()]
        .filter((object) => object.metadata.name > after)
        .sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1);
      send(200, {
        items: rest.slice(0, PAGE_ITEMS).map(seen),
        more: rest.length > PAGE_ITEMS,
        at: this.#revision,
      });
    }
  }

  async #watch({ kind, query, send, seen, response }) {
    const after = Number(query.get("watch"));
    const untilMs = performance.now() + Number(query.get("wait-ms") ?? 0);
    for (;;) {
      if (after < this.#oldest) {
        send(410);
        return;
      }
      const events = this.#events.filter((event) =>
        event.kind === kind && event.revision > after
      );
      const leftMs = untilMs - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        send(200, {
          events: events.map(({ deleted, object }) => ({
            deleted,
            object: seen(object),
          })),
          at: this.#revision,
        });
        return;
      }
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, leftMs);
        this.#waiting.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
      if (response.destroyed) return;
    }
  }

  #write(method, { kind, name, part, query, text, send }) {
    const body = text === "" ? {} : JSON.parse(text);
    const objectName = name === undefined
      ? body.metadata?.name
      : decodeURIComponent(name);
    const known = this.#objects(kind).get(objectName);
    const stated = body.metadata?.revision ?? query.get("revision");
    const revision = stated === null || stated === undefined
      ? undefined
      : Number(stated);
    if (method === "POST" && known !== undefined) return send(409, known);
    if (method !== "POST" && known === undefined) return send(404);
    if (revision !== undefined && revision !== known?.metadata.revision) {
      return send(409, known);
    }
    if (method === "DELETE") this.remove(kind, objectName);
    else if (part === "status") {
      this.#change(kind, { ...known, status: body.status }, false);
    } else this.put(kind, objectName, body.specification);
    send(200, this.#objects(kind).get(objectName) ?? known);
  }
}
