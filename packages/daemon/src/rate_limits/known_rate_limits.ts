/**
 * The rate limits that backend servers state in their responses, as known to
 * this VM.
 *
 * @module
 */

import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import type { StatedRateLimit } from "@sassafrasstage/protocol/rate_limits";
import type { RateLimitStatement } from "./rate_limit_statement.js";

/** Bounds the memory for servers that peers report. */
const MAX_SERVERS = 10_000;

interface KnownRateLimit {
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

  /** The servers whose limit is in force. */
  limitedServers(): BackendServerId[] {
    return [...this.#limits]
      .filter(([, limit]) => limit.requestsPerSecond !== undefined)
      .map(([id]) => id);
  }

  /** The latest change, for other VMs; undefined if there was none. */
  toStated(id: BackendServerId, nowMs: number): StatedRateLimit | undefined {
    const known = this.#limits.get(id);
    if (known === undefined) return undefined;
    return {
      requestsPerSecond: known.requestsPerSecond,
      ageMs: Math.max(0, nowMs - known.changedAtMs),
    };
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
        return this.#change(id, {
          requestsPerSecond: statement.requestsPerSecond,
          changedAtMs: times.nowMs,
        });
      case "unlimited":
        if (known === undefined || times.callStartedAtMs < known.changedAtMs) {
          return false;
        }
        return this.#change(id, {
          requestsPerSecond: undefined,
          changedAtMs: times.nowMs,
        });
      case "unknown":
        return false;
    }
  }

  /** Applies another VM's knowledge if it is newer; returns whether it was. */
  applyFromPeer(
    id: BackendServerId,
    stated: StatedRateLimit,
    nowMs: number,
  ): boolean {
    const changedAtMs = nowMs - stated.ageMs;
    const known = this.#limits.get(id);
    if (known !== undefined && known.changedAtMs >= changedAtMs) return false;
    return this.#change(id, {
      requestsPerSecond: stated.requestsPerSecond,
      changedAtMs,
    });
  }

  forget(id: BackendServerId): void {
    this.#limits.delete(id);
  }

  #change(id: BackendServerId, limit: KnownRateLimit): boolean {
    const known = this.#limits.get(id);
    if (known?.requestsPerSecond === limit.requestsPerSecond) return false;
    if (known === undefined && this.#limits.size >= MAX_SERVERS) return false;
    this.#limits.set(id, limit);
    return true;
  }
}
