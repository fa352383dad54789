/**
 * Estimates how long ago a client first sent a request, from the time that it
 * says it still waits.
 *
 * Load pattern: refused clients come back, and their objective counts from their
 * first attempt. Taken for new requests, they displace those that can still be
 * on time.
 *
 * @module
 */

import { RecentMap } from "../memory/recent_map.js";

/** Exceeds the number of routes that one configuration can hold. */
const MAX_KINDS = 10_000;
/** Stated times of a kind that are looked at. */
const SAMPLE_COUNT = 256;
/**
 * Clients of a kind that wait equally long state the same time at their first
 * attempts, and different ones later. Below this share, they differ among each
 * other, and ages are taken to be zero.
 */
const MIN_COMMON_SHARE = 0.04;
const MIN_SAMPLES = 12;

class StatedTimes {
  readonly #samples: number[] = [];
  readonly #counts = new Map<number, number>();
  #usualMs: number | undefined;

  add(statedMs: number): void {
    this.#samples.push(statedMs);
    this.#count(statedMs, 1);
    if (this.#samples.length > SAMPLE_COUNT) {
      const dropped = this.#samples.shift();
      if (dropped !== undefined) this.#count(dropped, -1);
    }
    const usual = this.#usualMs;
    const usualCount = usual === undefined ? 0 : this.#counts.get(usual) ?? 0;
    if ((this.#counts.get(statedMs) ?? 0) > usualCount) {
      this.#usualMs = statedMs;
    }
  }

  /** Time that most first attempts state, if there is one. */
  usualMs(): number | undefined {
    const usual = this.#usualMs;
    if (usual === undefined || this.#samples.length < MIN_SAMPLES) {
      return undefined;
    }
    const share = (this.#counts.get(usual) ?? 0) / this.#samples.length;
    return share >= MIN_COMMON_SHARE ? usual : undefined;
  }

  #count(statedMs: number, change: number): void {
    const count = (this.#counts.get(statedMs) ?? 0) + change;
    if (count <= 0) this.#counts.delete(statedMs);
    else this.#counts.set(statedMs, count);
  }
}

/** One per VM. */
export class RequestAges {
  readonly #kinds = new RecentMap<string, StatedTimes>(MAX_KINDS);

  /**
   * Returns the likely time since the first attempt, and remembers the stated
   * time for later requests.
   *
   * @param statedMs How long the client says that it waits; undefined if it
   *   doesn't say
   * @example
   * ```ts
   * const ageMs = ages.ageMs("route-a", request.deadlineInMs);
   * ```
   */
  ageMs(kind: string, statedMs: number | undefined): number {
    if (statedMs === undefined) return 0;
    const roundedMs = Math.round(statedMs);
    let times = this.#kinds.get(kind);
    if (times === undefined) {
      times = new StatedTimes();
      this.#kinds.set(kind, times);
    }
    times.add(roundedMs);
    const usualMs = times.usualMs();
    return usualMs === undefined ? 0 : Math.max(0, usualMs - roundedMs);
  }
}
