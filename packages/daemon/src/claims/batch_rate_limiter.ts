/**
 * Determines how long a partition collects operations into a batch before it
 * writes them.
 *
 * @module
 */

import type { Settings } from "../settings/settings.js";

/** Claim writes per second of all daemons, within the platform's budget. */
export const FLEET_WRITES_PER_SECOND = 200;
/** Burst of writes that a partition may make after an idle period. */
const BURST_WRITES = 4;
const MS_PER_SECOND = 1000;

export interface BatchRateLimiterOptions {
  readonly settings: Settings["claims"];
  readonly partitions: number;
}

/**
 * A token bucket: after an idle period a write is delayed only by
 * `gather_min_ms`. Under load the delay grows until the partition keeps to its
 * share of the write budget of all daemons, but never beyond `gather_max_ms`.
 *
 * @example
 * ```ts
 * await sleep(rateLimiter.reserveDelayMs(nowMs));
 * ```
 */
export class BatchRateLimiter {
  readonly #settings: Settings["claims"];
  readonly #msPerWrite: number;
  #tokens = BURST_WRITES;
  #refilledAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: BatchRateLimiterOptions) {
    this.#settings = options.settings;
    this.#msPerWrite = MS_PER_SECOND * options.partitions /
      FLEET_WRITES_PER_SECOND;
  }

  /** Reserves one write and returns how long to delay it. */
  reserveDelayMs(nowMs: number): number {
    const gainedTokens = (nowMs - this.#refilledAtMs) / this.#msPerWrite;
    this.#tokens = Math.min(BURST_WRITES, this.#tokens + gainedTokens);
    this.#refilledAtMs = nowMs;
    this.#tokens -= 1;
    const waitMs = this.#tokens < 0 ? -this.#tokens * this.#msPerWrite : 0;
    const { gather_min_ms, gather_max_ms } = this.#settings;
    const maxDelayMs = Math.max(gather_min_ms, gather_max_ms);
    if (waitMs > maxDelayMs) this.#tokens = -maxDelayMs / this.#msPerWrite;
    return Math.min(Math.max(waitMs, gather_min_ms), maxDelayMs);
  }
}
