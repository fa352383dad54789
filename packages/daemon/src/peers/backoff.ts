/**
 * Waits between attempts: each about twice the one before, with jitter.
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
  /** Different for each user, so that they don't try in step. */
  readonly seed: string;
}

/**
 * Computes one wait after the other.
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

  /** Between half and the whole of the present ceiling, which then doubles. */
  nextMs(): number {
    const ceilingMs = this.#ceilingMs;
    this.#ceilingMs = Math.min(ceilingMs * 2, this.#options.maxMs);
    return ceilingMs * (1 + uniformFloat64(this.#random)) / 2;
  }

  reset(): void {
    this.#ceilingMs = this.#options.minMs;
  }
}
