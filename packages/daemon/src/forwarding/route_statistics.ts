/**
 * Moving averages per route: request size, time to the first byte of the
 * service's response, and total duration.
 *
 * @module
 */

import { RecentMap } from "../memory/recent_map.js";
import type { PromptShape } from "./routed_request.js";

/** Exceeds the number of routes that one configuration can hold. */
const MAX_ROUTES = 10_000;
/** Cost of an output token relative to an input token. */
const OUTPUT_TOKEN_WEIGHT = 10;
const EWMA_WEIGHT = 0.05;
const INITIAL_FIRST_BYTE_MS = 120;
const INITIAL_DURATION_MS = 1000;
/** High estimate of a duration, as a multiple of the mean. */
const HIGH_ESTIMATE_FACTOR = 2.5;
const FIRST_BYTE_EWMA_WEIGHT = 0.2;

export class RouteStatistics {
  readonly #meanSizes = new RecentMap<string, number>(MAX_ROUTES);
  readonly #meanDurationsMs = new RecentMap<string, number>(MAX_ROUTES);
  readonly #meanFirstBytesMs = new RecentMap<string, number>(MAX_ROUTES);

  /**
   * Size of the request relative to the mean of its route. Also adds the request
   * to that mean.
   */
  relativeSize(route: string, prompt: PromptShape | undefined): number {
    if (prompt === undefined) return 1;
    const size = sizeOf(prompt);
    const previousMean = this.#meanSizes.get(route) ?? size;
    const mean = previousMean + (size - previousMean) * EWMA_WEIGHT;
    this.#meanSizes.set(route, mean);
    return mean <= 0 ? 1 : size / mean;
  }

  /** Size relative to the mean of the route, which stays as it is. */
  expectedRelativeSize(route: string, prompt: PromptShape | undefined): number {
    const mean = this.#meanSizes.get(route);
    if (prompt === undefined || mean === undefined || mean <= 0) return 1;
    return sizeOf(prompt) / mean;
  }

  /** Time within which nearly all of the route's requests finish. */
  highDurationEstimateMs(route: string): number {
    return (this.#meanDurationsMs.get(route) ?? INITIAL_DURATION_MS) *
      HIGH_ESTIMATE_FACTOR;
  }

  recordDuration(route: string, durationMs: number): void {
    const previousMean = this.#meanDurationsMs.get(route) ?? durationMs;
    this.#meanDurationsMs.set(
      route,
      previousMean + (durationMs - previousMean) * EWMA_WEIGHT,
    );
  }

  /** Expected time from the call of the service to the first response byte. */
  firstByteMs(route: string): number {
    return this.#meanFirstBytesMs.get(route) ?? INITIAL_FIRST_BYTE_MS;
  }

  recordFirstByte(route: string, durationMs: number): void {
    const previousMean = this.firstByteMs(route);
    this.#meanFirstBytesMs.set(
      route,
      previousMean + (durationMs - previousMean) * FIRST_BYTE_EWMA_WEIGHT,
    );
  }
}

function sizeOf(prompt: PromptShape): number {
  return prompt.inputTokens + OUTPUT_TOKEN_WEIGHT * prompt.maxOutputTokens;
}
