/**
 * Seeded random numbers that make runs reproducible.
 *
 * @module
 */

import { uniformFloat32 } from "pure-rand/distribution/uniformFloat32";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** A sequence of random numbers that depends only on its seed. */
export class SeededRandom {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** A number from 0 (inclusive) to 1 (exclusive). */
  nextFloat(): number {
    return uniformFloat32(this.#generator);
  }

  /** An integer from `min` to `max`, both inclusive. */
  nextInt(min: number, max: number): number {
    return min + Math.floor(this.nextFloat() * (max - min + 1));
  }

  /** True with the given probability. */
  nextBoolean(probability: number): boolean {
    return probability > 0 && this.nextFloat() < probability;
  }

  /**
   * Picks one of the items at random.
   *
   * @example
   * ```ts
   * new SeededRandom(7).pick(["a", "b"]);
   * ```
   */
  pick<Item>(items: readonly Item[]): Item {
    const item = items[this.nextInt(0, items.length - 1)];
    if (item === undefined) throw new Error("Can't pick from an empty list");
    return item;
  }

  /** Time to the next arrival of a Poisson process, in milliseconds. */
  nextArrivalMs(arrivalsPerSecond: number): number {
    return -Math.log(1 - this.nextFloat()) * 1000 / arrivalsPerSecond;
  }
}
