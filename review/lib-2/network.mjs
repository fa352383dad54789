/** Links between processes: TCP relays that can hold bytes or refuse connections. */

import { randomInt } from "node:crypto";
import { connect, createServer } from "node:net";

/** Returns a function that makes addresses of a part of 127.0.0.0/8 that is free. */
export async function openSubnet(ports) {
  for (let tries = 0; tries < 50; tries++) {
    const octet = randomInt(20, 250);
    const address = (zone, host) => `127.${octet}.${zone}.${host}`;
    const free = await Promise.all(
      ports.map((port) => isFree(address(1, 1), port)),
    );
    if (free.every(Boolean)) return address;
  }
  throw new Error("No free loopback addresses");
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/**
 * Passes bytes between callers and one listener. While `holds(source)` is true,
 * nothing passes in either direction and new connections get no answer; what was
 * sent meanwhile arrives afterwards, as after a short partition.
 */
export class Link {
  #server;
  #pairs = new Set();
  #listen;
  #target;
  #isOpen = false;
  #heldSources = new Set();
  /** Called with the caller's address and what it sends. */
  onRequest;

  constructor({ listen, target }) {
    this.#listen = listen;
    this.#target = target;
  }

  async open() {
    if (this.#isOpen) return;
    this.#server = createServer({ pauseOnConnect: true }, (socket) => {
      this.#accept(socket);
    });
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(this.#listen.port, this.#listen.host, resolve);
    });
    this.#isOpen = true;
  }

  /** Refuses new connections and resets the open ones. */
  refuse() {
    if (!this.#isOpen) return;
    this.#isOpen = false;
    this.#server.close();
    for (const { near, far } of this.#pairs) {
      near.resetAndDestroy();
      far?.resetAndDestroy();
    }
  }

  /** @param source Address of the callers that are cut off; all by default */
  hold(source = "all") {
    this.#heldSources.add(source);
    for (const pair of this.#pairs) this.#apply(pair);
  }

  release(source = "all") {
    this.#heldSources.delete(source);
    for (const pair of this.#pairs) this.#apply(pair);
  }

  #isHeld({ source }) {
    return this.#heldSources.has("all") || this.#heldSources.has(source);
  }

  #accept(near) {
    const pair = { near, far: undefined, source: near.remoteAddress };
    this.#pairs.add(pair);
    near.on("error", () => near.destroy());
    near.on("close", () => {
      // A close behind a partition isn't seen before it has healed.
      if (!this.#isHeld(pair)) pair.far?.destroy();
      if (pair.far === undefined) this.#pairs.delete(pair);
    });
    this.#apply(pair);
  }

  #apply(pair) {
    const { near } = pair;
    if (this.#isHeld(pair)) {
      near.pause();
      pair.far?.pause();
      return;
    }
    if (near.destroyed || pair.far?.destroyed === true) {
      near.destroy();
      pair.far?.destroy();
      this.#pairs.delete(pair);
    } else if (pair.far === undefined) this.#dial(pair);
    else {
      near.resume();
      pair.far.resume();
    }
  }

  #dial(pair) {
    const { near } = pair;
    const far = connect(this.#target);
    pair.far = far;
    far.setNoDelay(true);
    near.setNoDelay(true);
    far.on("error", () => far.destroy());
    far.on("close", () => {
      if (this.#isHeld(pair)) return;
      near.destroy();
      this.#pairs.delete(pair);
    });
    near.on("data", (bytes) => {
      this.onRequest?.(pair.source, bytes.toString("latin1"));
      far.write(bytes);
    });
    far.on("data", (bytes) => near.write(bytes));
    near.on("end", () => far.end());
    far.on("end", () => near.end());
    near.resume();
  }

  close() {
    this.#isOpen = false;
    this.#server?.close();
    for (const { near, far } of this.#pairs) {
      near.destroy();
      far?.destroy();
    }
  }
}
