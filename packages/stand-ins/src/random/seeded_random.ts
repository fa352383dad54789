/**
 * Seeded random numbers, so that a run can be repeated.
 *
 * @module
 */

import { uniformFloat32 } from "pure-rand/distribution/uniformFloat32";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** A sequence of random numbers that depends on its seed alone. */
export class SeededRandom {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** From 0 to below 1. */
  nextFloat(): number {
    return uniformFloat32(this.#generator);
  }

  /** A whole number from `min` to `max`, both included. */
  nextInt(min: number, max: number): number {
    return min + Math.floor(this.nextFloat() * (max - min + 1));
  }

  /** True in the given share of the calls. */
  isHit(ratio: number): boolean {
    return ratio > 0 && this.nextFloat() < ratio;
  }

  /**
   * One of the items.
   *
   * @example
   * ```ts
   * new SeededRandom(7).pick(["a", "b"]);
   * ```
   */
  pick<Item>(items: readonly Item[]): Item {
    const item = items[this.nextInt(0, items.length - 1)];
    if (item === undefined) throw new Error("Nothing to pick from");
    return item;
  }

  /** Milliseconds to the next arrival of a Poisson process. */
  nextArrivalMs(arrivalsPerSecond: number): number {
    return -Math.log(1 - this.nextFloat()) * 1000 / arrivalsPerSecond;
  }
}
