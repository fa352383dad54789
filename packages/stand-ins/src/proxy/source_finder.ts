/**
 * Tells which process opened a local TCP connection, so that one listener can
 * treat each process's connections in its own way. Reads `/proc`.
 *
 * @module
 */

import { readdirSync, readFileSync, readlinkSync } from "node:fs";

const TCP_TABLES = ["/proc/net/tcp", "/proc/net/tcp6"];
const LOCAL_ADDRESS_FIELD = 1;
const INODE_FIELD = 9;
/** A port is hardly used again by another process in so short a time. */
const SCAN_KEPT_MS = 100;

/** Names processes by the local port of one of their connections. */
export class SourceFinder {
  readonly #names = new Map<number, string>();
  #found = new Map<number, string>();
  #scannedAtMs = -Infinity;

  /** Connections of this process carry the name from now on. */
  add(processId: number, name: string): void {
    this.#names.set(processId, name);
  }

  remove(processId: number): void {
    this.#names.delete(processId);
  }

  /** The name of each port whose process was added. */
  find(ports: readonly number[]): ReadonlyMap<number, string> {
    const isKnown = performance.now() < this.#scannedAtMs + SCAN_KEPT_MS &&
      ports.every((port) => this.#found.has(port));
    if (!isKnown) this.#scan();
    return this.#found;
  }

  #scan(): void {
    const portByLink = findPorts();
    this.#found = new Map();
    for (const [processId, name] of this.#names) {
      for (const link of linksOf(processId)) {
        const port = portByLink.get(link);
        if (port !== undefined) this.#found.set(port, name);
      }
    }
    this.#scannedAtMs = performance.now();
  }
}

/** Local ports by the text of the links in `/proc/PID/fd`. */
function findPorts(): Map<string, number> {
  const found = new Map<string, number>();
  for (const table of TCP_TABLES) {
    for (const line of readLines(table)) {
      const fields = line.trim().split(/\s+/);
      const hexPort = fields[LOCAL_ADDRESS_FIELD]?.split(":")[1];
      const inode = fields[INODE_FIELD];
      if (hexPort === undefined || inode === undefined) continue;
      found.set(`socket:[${inode}]`, Number.parseInt(hexPort, 16));
    }
  }
  return found;
}

function readLines(path: string): string[] {
  try {
    return readFileSync(path, "utf8").split("\n");
  } catch {
    return [];
  }
}

function linksOf(processId: number): string[] {
  const folder = `/proc/${processId}/fd`;
  try {
    return readdirSync(folder).map((name) => linkOf(folder, name));
  } catch {
    return [];
  }
}

function linkOf(folder: string, name: string): string {
  try {
    return readlinkSync(`${folder}/${name}`);
  } catch {
    return "";
  }
}
