/**
 * How long a partition gathers operations before it writes them together.
 *
 * @module
 */

import type { Settings } from "../settings/settings.js";

/** Claim writes a second of the whole fleet, within the platform's budget. */
export const FLEET_WRITES_PER_SECOND = 200;
/** Writes that a partition may make at once after a quiet time. */
const BURST_WRITES = 4;
const MS_PER_SECOND = 1000;

export interface GatherPacerOptions {
  readonly settings: Settings["claims"];
  readonly partitions: number;
}

/**
 * A token bucket: after quiet times a write waits only for the shortest
 * gathering; under load the interval grows to the partition's share of the
 * fleet's writes, but never beyond the longest one.
 *
 * @example
 * ```ts
 * await sleep(pacer.takeDelayMs(nowMs));
 * ```
 */
export class GatherPacer {
  readonly #settings: Settings["claims"];
  readonly #msPerWrite: number;
  #tokens = BURST_WRITES;
  #filledAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: GatherPacerOptions) {
    this.#settings = options.settings;
    this.#msPerWrite = MS_PER_SECOND * options.partitions /
      FLEET_WRITES_PER_SECOND;
  }

  /** Takes one write out of the budget and says how long to wait for it. */
  takeDelayMs(nowMs: number): number {
    const gained = (nowMs - this.#filledAtMs) / this.#msPerWrite;
    this.#tokens = Math.min(BURST_WRITES, this.#tokens + gained);
    this.#filledAtMs = nowMs;
    this.#tokens -= 1;
    const waitMs = this.#tokens < 0 ? -this.#tokens * this.#msPerWrite : 0;
    const { gather_min_ms, gather_max_ms } = this.#settings;
    const longestMs = Math.max(gather_min_ms, gather_max_ms);
    if (waitMs > longestMs) this.#tokens = -longestMs / this.#msPerWrite;
    return Math.min(Math.max(waitMs, gather_min_ms), longestMs);
  }
}
