/**
 * Exponential backoff with jitter for delays between attempts.
 *
 * @module
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { hash32 } from "./rendezvous.js";

export interface BackoffOptions {
  readonly minMs: number;
  readonly maxMs: number;
  /** Differs for each caller, so that their retries are not synchronized. */
  readonly seed: string;
}

/**
 * Computes the delays of successive attempts.
 *
 * @example
 * ```ts
 * const backoff = new Backoff({ minMs: 20, maxMs: 1000, seed: vmId });
 * await sleep(backoff.nextMs());
 * ```
 */
export class Backoff {
  readonly #options: BackoffOptions;
  readonly #random: RandomGenerator;
  #ceilingMs: number;

  constructor(options: BackoffOptions) {
    this.#options = options;
    this.#random = xoroshiro128plus(hash32(options.seed));
    this.#ceilingMs = options.minMs;
  }

  /**
   * Returns a delay between half of the current ceiling and the whole of it,
   * and doubles the ceiling up to `maxMs`.
   */
  nextMs(): number {
    const ceilingMs = this.#ceilingMs;
    this.#ceilingMs = Math.min(ceilingMs * 2, this.#options.maxMs);
    return ceilingMs * (1 + uniformFloat64(this.#random)) / 2;
  }

  reset(): void {
    this.#ceilingMs = this.#options.minMs;
  }
}
