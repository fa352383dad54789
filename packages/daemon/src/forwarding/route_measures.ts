/**
 * Means measured for each route: the size of its requests, the time that its
 * own service takes to begin an answer, and the time to the answer's end.
 *
 * @module
 */

import type { PromptShape } from "./routed_request.js";

/** Output tokens cost this many times as much as input tokens. */
const OUTPUT_TOKEN_WEIGHT = 10;
const GAIN = 0.05;
const FIRST_FINISH_MS = 120;
const FIRST_DURATION_MS = 1000;
/** A long answer takes so many times the mean. */
const LONG_DURATION_FACTOR = 2.5;
const FINISH_GAIN = 0.2;

export class RouteMeasures {
  readonly #meanSizes = new Map<string, number>();
  readonly #durationMs = new Map<string, number>();
  readonly #finishMs = new Map<string, number>();

  /** Size of the request against the mean of its route; takes it in. */
  relativeSize(route: string, prompt: PromptShape | undefined): number {
    if (prompt === undefined) return 1;
    const size = prompt.inputTokens +
      OUTPUT_TOKEN_WEIGHT * prompt.maxOutputTokens;
    const known = this.#meanSizes.get(route) ?? size;
    const mean = known + (size - known) * GAIN;
    this.#meanSizes.set(route, mean);
    return mean <= 0 ? 1 : size / mean;
  }

  /** Time within which nearly all of the route's requests are answered. */
  longDurationMs(route: string): number {
    return (this.#durationMs.get(route) ?? FIRST_DURATION_MS) *
      LONG_DURATION_FACTOR;
  }

  noteDuration(route: string, durationMs: number): void {
    const known = this.#durationMs.get(route) ?? durationMs;
    this.#durationMs.set(route, known + (durationMs - known) * GAIN);
  }

  /** Likely time from the call of the service to the answer's first byte. */
  finishMs(route: string): number {
    return this.#finishMs.get(route) ?? FIRST_FINISH_MS;
  }

  noteFinish(route: string, durationMs: number): void {
    const known = this.finishMs(route);
    this.#finishMs.set(route, known + (durationMs - known) * FINISH_GAIN);
  }
}
