/**
 * Remembers at which service and software version streams began.
 *
 * @module
 */

import type { AttemptId } from "@sassafrasstage/protocol/ids";
import type { StreamOrigin } from "@sassafrasstage/protocol/stream_origin";

/** Longer than a client waits for a stream, all its attempts included. */
export const ORIGIN_RETENTION_MS = 60_000;
const MAX_ORIGINS = 50_000;

export class StreamOrigins {
  /** In the order of insertion, so the oldest comes first. */
  readonly #entries = new Map<
    AttemptId,
    { readonly origin: StreamOrigin; readonly storedAtMs: number }
  >();

  get size(): number {
    return this.#entries.size;
  }

  get(id: AttemptId, nowMs: number): StreamOrigin | undefined {
    this.#dropExpired(nowMs);
    return this.#entries.get(id)?.origin;
  }

  set(id: AttemptId, origin: StreamOrigin, nowMs: number): void {
    this.#dropExpired(nowMs);
    this.#entries.delete(id);
    this.#entries.set(id, { origin, storedAtMs: nowMs });
    if (this.#entries.size > MAX_ORIGINS) this.#dropOldest();
  }

  #dropExpired(nowMs: number): void {
    for (const [id, { storedAtMs }] of this.#entries) {
      if (nowMs - storedAtMs < ORIGIN_RETENTION_MS) return;
      this.#entries.delete(id);
    }
  }

  #dropOldest(): void {
    const [oldest] = this.#entries.keys();
    if (oldest !== undefined) this.#entries.delete(oldest);
  }
}
