/**
 * Seeded arrivals of an open-loop load: requests come at their own times,
 * whether or not earlier ones were answered.
 *
 * @module
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const MS_PER_SECOND = 1000;

export interface Weighted {
  readonly name: string;
  readonly weight: number;
}

/** Requests at a mean rate for a span of time. */
export interface ArrivalStream {
  readonly startMs: number;
  readonly endMs: number;
  readonly requestsPerSecond: number;
  readonly pipelines: readonly Weighted[];
  readonly clientAccounts: readonly Weighted[];
}

export interface Arrival {
  /** The intended send time, from the start of the run. */
  readonly atMs: number;
  readonly pipeline: string;
  readonly clientAccount: string;
  /** A number for the request's content, unlike every other one's. */
  readonly serial: number;
}

type RandomSource = () => number;

/**
 * Draws the arrivals of all streams, ordered by time. Gaps are exponential.
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
    .sort((first, second) => first.atMs - second.atMs)
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
      pipeline: pick(stream.pipelines, random),
      clientAccount: pick(stream.clientAccounts, random),
    });
  }
}

function pick(choices: readonly Weighted[], random: RandomSource): string {
  const total = choices.reduce((sum, choice) => sum + choice.weight, 0);
  let rest = random() * total;
  for (const choice of choices) {
    rest -= choice.weight;
    if (rest < 0) return choice.name;
  }
  throw new RangeError("No choice has a weight above 0");
}
