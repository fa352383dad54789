/**
 * The load that one server process has stated, as long as it is recent.
 *
 * Load pattern: servers that share their machines and are used by many VMs. A
 * VM's own requests in flight say little about such a server, and what the
 * server stated is soon outdated, so its weight falls to 0 within a second.
 *
 * @module
 */

import type { ServerLoad } from "./server_load.js";

/** A statement of this age or older has no weight. */
export const MAX_STATEMENT_AGE_MS = 1000;
/** Bounds the effect of a statement that isn't true. */
const MIN_SLOWDOWN = 0.25;
const MAX_SLOWDOWN = 8;

interface Statement {
  readonly load: ServerLoad;
  readonly ownInFlight: number;
  readonly atMs: number;
}

/** How much longer work takes, and how much the figure counts (0 to 1). */
export interface WeightedSlowdown {
  readonly value: number;
  readonly weight: number;
}

export class StatedLoad {
  #latest: Statement | undefined;
  #hasStatedSlowdown = false;

  /** Whether the server has ever stated how long work takes. */
  get hasStatedSlowdown(): boolean {
    return this.#hasStatedSlowdown;
  }

  /** @param ownInFlight Requests of this VM at the server, that one included */
  record(
    load: ServerLoad,
    { ownInFlight, nowMs }: {
      readonly ownInFlight: number;
      readonly nowMs: number;
    },
  ): void {
    this.#latest = { load, ownInFlight, atMs: nowMs };
    if (load.slowdown !== undefined) this.#hasStatedSlowdown = true;
  }

  /** Weight of the latest statement: 1 when it is new, 0 when it is too old. */
  weight(nowMs: number): number {
    if (this.#latest === undefined) return 0;
    const ageMs = Math.max(0, nowMs - this.#latest.atMs);
    return Math.max(0, 1 - ageMs / MAX_STATEMENT_AGE_MS);
  }

  /**
   * Requests that other VMs have at the server, weighted by the age of the
   * statement. Never negative, so that no statement hides this VM's own ones.
   */
  othersLoad(nowMs: number): number {
    if (this.#latest === undefined) return 0;
    const { load, ownInFlight } = this.#latest;
    const others = Math.max(0, load.running + load.waiting - ownInFlight);
    return others * this.weight(nowMs);
  }

  /** The same relative to the slots, for servers that count parts of calls. */
  othersCalls(nowMs: number): number {
    const slots = this.#latest?.load.slots ?? 0;
    return this.othersLoad(nowMs) / Math.max(1, slots);
  }

  /** The latest stated slowdown, within bounds; undefined if there is none. */
  slowdown(nowMs: number): WeightedSlowdown | undefined {
    const value = this.#latest?.load.slowdown;
    if (value === undefined) return undefined;
    return { value: boundSlowdown(value), weight: this.weight(nowMs) };
  }
}

/** A stated slowdown within the bounds that are believed. */
export function boundSlowdown(value: number): number {
  return Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, value));
}
