/**
 * The rate limits that backend servers state in their responses, as known to
 * this VM.
 *
 * @module
 */

import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import type { RateLimitStatement } from "./rate_limit_statement.js";

/** The latest change of a server's limit that this VM has learned of. */
export interface KnownRateLimit {
  /** Undefined once the server has stopped stating a limit. */
  readonly requestsPerSecond: number | undefined;
  /** On this process's monotonic clock, in milliseconds. */
  readonly changedAtMs: number;
}

export class KnownRateLimits {
  readonly #limits = new Map<BackendServerId, KnownRateLimit>();

  /** The limit in force, in requests per second. */
  requestsPerSecond(id: BackendServerId): number | undefined {
    return this.#limits.get(id)?.requestsPerSecond;
  }

  /** The latest change; undefined for a server that never stated a limit. */
  get(id: BackendServerId): KnownRateLimit | undefined {
    return this.#limits.get(id);
  }

  /** Number of servers whose limit is in force. */
  get size(): number {
    return [...this.#limits.values()]
      .filter((limit) => limit.requestsPerSecond !== undefined).length;
  }

  /**
   * Applies the statement in a response to a call that started at
   * `callStartedAtMs`, and returns whether the limit has changed. A response to
   * a call from before the limit was known doesn't end it, as the server may
   * have sent the response before it stated the limit.
   */
  applyStatement(
    id: BackendServerId,
    statement: RateLimitStatement,
    times: { readonly callStartedAtMs: number; readonly nowMs: number },
  ): boolean {
    const known = this.#limits.get(id);
    switch (statement.kind) {
      case "limited":
        return this.#change(id, statement.requestsPerSecond, times.nowMs);
      case "unlimited":
        if (known === undefined || times.callStartedAtMs < known.changedAtMs) {
          return false;
        }
        return this.#change(id, undefined, times.nowMs);
      case "unknown":
        return false;
    }
  }

  forget(id: BackendServerId): void {
    this.#limits.delete(id);
  }

  #change(
    id: BackendServerId,
    requestsPerSecond: number | undefined,
    changedAtMs: number,
  ): boolean {
    if (this.requestsPerSecond(id) === requestsPerSecond) return false;
    this.#limits.set(id, { requestsPerSecond, changedAtMs });
    return true;
  }
}
