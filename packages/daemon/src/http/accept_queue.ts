/**
 * How long connections wait until a server accepts them.
 *
 * Load pattern: the kernel completes connections by itself and queues them, so
 * that a port looks open while the process takes nothing from it.
 *
 * @module
 */

import type { Server } from "node:net";
import { readQueuedConnections } from "./tcp_state.js";

/** Clients have given up by then, and other VMs can take their requests. */
const MAX_WAIT_MS = 2000;

export interface AcceptQueueOptions {
  readonly nowMs: () => number;
  /** Undefined if that can't be found out. */
  readonly readQueued?: () => number | undefined;
}

/**
 * Follows one queued connection at a time until it is accepted.
 *
 * @example
 * ```ts
 * const queue = new AcceptQueue(server, { nowMs });
 * setInterval(() => queue.sample(), 200);
 * if (queue.isBehind) refuse();
 * ```
 */
export class AcceptQueue {
  readonly #options: AcceptQueueOptions;
  readonly #readQueued: () => number | undefined;
  #accepted = 0;
  /** The last one that was queued at that time. */
  #followed: { readonly number: number; readonly sinceMs: number } | undefined;

  constructor(server: Server, options: AcceptQueueOptions) {
    this.#options = options;
    this.#readQueued = options.readQueued ??
      (() => readQueuedConnections(server));
    server.on("connection", () => {
      this.#accepted += 1;
      this.#checkAccepted();
    });
  }

  /** Whether a connection has been waiting for too long at the last sample. */
  get isBehind(): boolean {
    return this.#followed !== undefined &&
      this.#options.nowMs() - this.#followed.sinceMs >= MAX_WAIT_MS;
  }

  /** To be called at regular intervals. */
  sample(): void {
    const queued = this.#readQueued() ?? 0;
    // Connections that their clients have closed leave the queue by themselves.
    if (queued === 0) this.#followed = undefined;
    else {
      this.#followed ??= {
        number: this.#accepted + queued,
        sinceMs: this.#options.nowMs(),
      };
    }
  }

  #checkAccepted(): void {
    if (this.#followed === undefined) return;
    if (this.#accepted >= this.#followed.number) this.#followed = undefined;
  }
}
