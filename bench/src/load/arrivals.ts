/**
 * Seeded arrivals of an open-loop load: requests are sent at predetermined
 * times, whether or not earlier ones were answered.
 *
 * @module
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const MS_PER_SECOND = 1000;

export interface WeightedChoice {
  readonly name: string;
  readonly weight: number;
}

/** Requests with a constant mean rate during a time window. */
export interface ArrivalStream {
  readonly startMs: number;
  readonly endMs: number;
  readonly requestsPerSecond: number;
  readonly pipelines: readonly WeightedChoice[];
  readonly clientAccounts: readonly WeightedChoice[];
}

export interface Arrival {
  /** The intended send time, relative to the start of the run. */
  readonly atMs: number;
  readonly pipeline: string;
  readonly clientAccount: string;
  /** A unique number that makes the request's content unique. */
  readonly serial: number;
}

type RandomSource = () => number;

/**
 * Draws the arrivals of all streams, ordered by time. The intervals within a
 * stream are exponentially distributed.
 *
 * @example
 * ```ts
 * const arrivals = drawArrivals([stream], 42);
 * ```
 */
export function drawArrivals(
  streams: readonly ArrivalStream[],
  seed: number,
): Arrival[] {
  return streams
    .flatMap((stream, index) =>
      drawStream(stream, makeRandomSource(seed * streams.length + index))
    )
    .sort((a, b) => a.atMs - b.atMs)
    .map((arrival, serial) => ({ ...arrival, serial }));
}

function makeRandomSource(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

function drawStream(
  stream: ArrivalStream,
  random: RandomSource,
): Omit<Arrival, "serial">[] {
  const meanGapMs = MS_PER_SECOND / stream.requestsPerSecond;
  const arrivals: Omit<Arrival, "serial">[] = [];
  let atMs = stream.startMs;
  for (;;) {
    atMs += -Math.log(1 - random()) * meanGapMs;
    if (atMs >= stream.endMs) return arrivals;
    arrivals.push({
      atMs,
      pipeline: pickWeighted(stream.pipelines, random),
      clientAccount: pickWeighted(stream.clientAccounts, random),
    });
  }
}

function pickWeighted(
  choices: readonly WeightedChoice[],
  random: RandomSource,
): string {
  const total = choices.reduce((sum, choice) => sum + choice.weight, 0);
  let remainingWeight = random() * total;
  for (const choice of choices) {
    remainingWeight -= choice.weight;
    if (remainingWeight < 0) return choice.name;
  }
  throw new RangeError("No choice has a weight above 0");
}
