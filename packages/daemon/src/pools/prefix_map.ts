/**
 * Maps a prompt prefix to the backend server that last ran it.
 *
 * @module
 */

import type { BackendServerId } from "@sassafrasstage/protocol/ids";

const MAX_PREFIXES = 10_000;

/** Bounded: evicts the least recently recorded prefix. */
export class PrefixMap {
  readonly #servers = new Map<string, BackendServerId>();

  serverFor(prefixKey: string): BackendServerId | undefined {
    return this.#servers.get(prefixKey);
  }

  recordServer(prefixKey: string, server: BackendServerId): void {
    this.#servers.delete(prefixKey);
    this.#servers.set(prefixKey, server);
    if (this.#servers.size <= MAX_PREFIXES) return;
    const [oldest] = this.#servers.keys();
    if (oldest !== undefined) this.#servers.delete(oldest);
  }
}
