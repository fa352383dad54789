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

/** Names processes by the local port of one of their connections. */
export class SourceFinder {
  readonly #names = new Map<number, string>();

  /** Connections of this process carry the name from now on. */
  add(processId: number, name: string): void {
    this.#names.set(processId, name);
  }

  remove(processId: number): void {
    this.#names.delete(processId);
  }

  /** The name of the process that holds the port, if it was added. */
  find(port: number): string | undefined {
    const inode = findInode(port);
    if (inode === undefined) return undefined;
    const wanted = `socket:[${inode}]`;
    for (const [processId, name] of this.#names) {
      if (holdsFile(processId, wanted)) return name;
    }
    return undefined;
  }
}

function findInode(port: number): string | undefined {
  const suffix = `:${port.toString(16).toUpperCase().padStart(4, "0")}`;
  for (const table of TCP_TABLES) {
    for (const line of readLines(table)) {
      const fields = line.trim().split(/\s+/);
      if (fields[LOCAL_ADDRESS_FIELD]?.endsWith(suffix) !== true) continue;
      const inode = fields[INODE_FIELD];
      if (inode !== undefined && inode !== "0") return inode;
    }
  }
  return undefined;
}

function readLines(path: string): string[] {
  try {
    return readFileSync(path, "utf8").split("\n");
  } catch {
    return [];
  }
}

function holdsFile(processId: number, wanted: string): boolean {
  const folder = `/proc/${processId}/fd`;
  try {
    return readdirSync(folder).some((name) => linkOf(folder, name) === wanted);
  } catch {
    return false;
  }
}

function linkOf(folder: string, name: string): string {
  try {
    return readlinkSync(`${folder}/${name}`);
  } catch {
    return "";
  }
}
