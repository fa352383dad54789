/**
 * Learns how slow the servers of one service are from their calls.
 *
 * Load pattern: servers of one service differ in speed (0.55 to 1.3) and each
 * VM calls each of them rarely, so a few noisy samples have to suffice. What is
 * learned is drawn to the mean of the service in proportion to their number.
 *
 * All quantities are logarithms, as slowness multiplies.
 *
 * @module
 */

import { boundSlowdown, type WeightedSlowdown } from "./stated_load.js";

/** What is learned counts half after this time. */
const HALF_LIFE_MS = 60_000;
/** The mean of the service counts as much as this many samples. */
const PRIOR_SAMPLES = 2;
/**
 * Spread of stated slowdowns from which on the calls decide whether they are
 * true: the sum of squares that one statement of 1.6 times the mean adds.
 */
const PRIOR_SPREAD = 0.22;
/** Longer and shorter calls count as this far from the expected duration. */
const MAX_RATIO = 8;
/** Below this slope, the stated slowdown doesn't predict durations. */
const MIN_PREDICTIVE_SLOPE = 0.25;
const MIN_JUDGED_SAMPLES = 5;
/** Spread that has to be seen before a statement is said not to predict. */
const MIN_JUDGED_SPREAD = 0.5;

/** One call that did not wait for others. */
export interface SpeedSample {
  /** Duration relative to the expected one of such a call at any server. */
  readonly ratio: number;
  /** What the server stated in the response; undefined if nothing. */
  readonly slowdown: number | undefined;
}

/** Sums over samples that decay with time. */
class DecayedSums {
  count = 0;
  ratio = 0;
  slowdown = 0;
  slowdownSquared = 0;
  product = 0;
  #atMs = 0;

  decayTo(nowMs: number): this {
    const factor = 0.5 ** (Math.max(0, nowMs - this.#atMs) / HALF_LIFE_MS);
    this.#atMs = Math.max(this.#atMs, nowMs);
    this.count *= factor;
    this.ratio *= factor;
    this.slowdown *= factor;
    this.slowdownSquared *= factor;
    this.product *= factor;
    return this;
  }

  add(ratio: number, slowdown: number): void {
    this.count += 1;
    this.ratio += ratio;
    this.slowdown += slowdown;
    this.slowdownSquared += slowdown * slowdown;
    this.product += ratio * slowdown;
  }
}

/** Learned speed of one server process, relative to its service. */
export class ServerSpeed {
  readonly #service: ServiceSpeed;
  readonly #sums = new DecayedSums();

  constructor(service: ServiceSpeed) {
    this.#service = service;
  }

  record(sample: SpeedSample, nowMs: number): void {
    const ratio = Math.log(
      Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, sample.ratio)),
    );
    const slowdown = Math.log(boundSlowdown(sample.slowdown ?? 1));
    this.#sums.decayTo(nowMs).add(ratio, slowdown);
    this.#service.record(ratio, slowdown, nowMs);
  }

  /**
   * Expected duration of a call relative to the expected one at any server.
   *
   * @param stated The latest stated slowdown, if there is one
   */
  slowness(stated: WeightedSlowdown | undefined, nowMs: number): number {
    const sums = this.#sums.decayTo(nowMs);
    const service = this.#service.means(nowMs);
    const samples = sums.count + PRIOR_SAMPLES;
    const meanRatio = (sums.ratio + PRIOR_SAMPLES * service.ratio) / samples;
    if (stated === undefined) return Math.exp(meanRatio);
    const meanSlowdown = (sums.slowdown + PRIOR_SAMPLES * service.slowdown) /
      samples;
    const deviation = Math.log(stated.value) - meanSlowdown;
    return Math.exp(
      meanRatio + this.#slope() * stated.weight * deviation,
    );
  }

  /** False once the calls show that the stated slowdown predicts nothing. */
  isPredictive(nowMs: number): boolean {
    const sums = this.#sums.decayTo(nowMs);
    return sums.count < MIN_JUDGED_SAMPLES ||
      this.#spread() < MIN_JUDGED_SPREAD ||
      this.#slope() >= MIN_PREDICTIVE_SLOPE;
  }

  #spread(): number {
    const { count, slowdown, slowdownSquared } = this.#sums;
    if (count === 0) return 0;
    return Math.max(0, slowdownSquared - slowdown * slowdown / count);
  }

  /**
   * How much of a stated slowdown shows in the durations, 0 to 1: a regression
   * with 1 as the expectation.
   */
  #slope(): number {
    const { count, ratio, slowdown, product } = this.#sums;
    if (count === 0) return 1;
    const covariance = product - ratio * slowdown / count;
    const slope = (covariance + PRIOR_SPREAD) / (this.#spread() + PRIOR_SPREAD);
    return Math.min(1, Math.max(0, slope));
  }
}

/** Means over all servers of one service. */
export class ServiceSpeed {
  readonly #sums = new DecayedSums();

  /** Drawn to 0, the logarithm of the nominal duration, with few samples. */
  means(nowMs: number): { readonly ratio: number; readonly slowdown: number } {
    const { count, ratio, slowdown } = this.#sums.decayTo(nowMs);
    const samples = count + PRIOR_SAMPLES;
    return { ratio: ratio / samples, slowdown: slowdown / samples };
  }

  /** Expected duration at a server of the service that isn't known. */
  slowness(nowMs: number): number {
    return Math.exp(this.means(nowMs).ratio);
  }

  record(ratio: number, slowdown: number, nowMs: number): void {
    this.#sums.decayTo(nowMs).add(ratio, slowdown);
  }
}
