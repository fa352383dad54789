/**
 * Rates of bad responses that a sound candidate may show, from what the current
 * version shows on the same route, at the same time, in the same data centre.
 *
 * @module
 */

import {
  addBad,
  type BadCount,
  countTolerated,
  type FaultKind,
  findThresholds,
  NOTHING,
  type RouteThresholds,
} from "./bad_counts.js";
import type { CallCounts } from "./rollout_observations.js";

/**
 * A sound version may fail at this rate although the current version doesn't:
 * with few samples of the current version a lower rate can't be told from it.
 */
const MIN_RATE = 0.01;
/** At higher rates of the current version nothing can be concluded. */
const MAX_RATE = 0.9;
/**
 * Samples that the rate over the whole time counts for beside those of one
 * moment. A slow data centre shows in about 25 samples of a route within three
 * slices on the deployment observed.
 */
const USUAL_RATE_WEIGHT = 10;

/** Bad responses of one route in one slice of time, by data centre. */
type SliceCounts = ReadonlyMap<string, BadCount>;

export class CurrentRates {
  readonly #slices: readonly (readonly CallCounts[])[];
  readonly #thresholds = new Map<string, RouteThresholds>();
  readonly #counts = new Map<string, readonly SliceCounts[]>();
  readonly #usualRates = new Map<string, number>();
  readonly #explainedRates = new Map<string, number>();

  /** Takes the counters of both sides by slices of time, oldest first. */
  constructor(slices: readonly (readonly CallCounts[])[]) {
    this.#slices = slices.map((slice) =>
      slice.filter(({ side }) => side === "current")
    );
  }

  thresholdsOf(route: string): RouteThresholds {
    return computeOnce(
      this.#thresholds,
      route,
      () =>
        findThresholds(
          this.#slices.flat().filter((counts) => counts.route === route),
        ),
    );
  }

  /** Highest rate that is explained without a fault of the version. */
  explainedRate(
    { route, dataCentre }: CallCounts,
    kind: FaultKind,
    sliceIndex: number,
  ): number {
    const key = `${kind} ${sliceIndex} ${dataCentre ?? ""} ${route}`;
    return computeOnce(this.#explainedRates, key, () => {
      // Responses to calls of the same moment may arrive in adjacent slices.
      const slices = this.#countsOf(route, kind);
      const nearby = slices.slice(Math.max(0, sliceIndex - 1), sliceIndex + 2);
      const ofAll = sumUp(nearby.flatMap((slice) => [...slice.values()]));
      // A fault that has just begun shows in this slice only.
      const sameTime = sumUp([...slices[sliceIndex]?.values() ?? []]);
      const local = sumUp(
        nearby.map((slice) => slice.get(dataCentre ?? "") ?? NOTHING),
      );
      const usualRate = this.usualRate(route, kind);
      const rates = [ofAll, local, sameTime].map(({ samples, bad }) =>
        (bad + USUAL_RATE_WEIGHT * usualRate) / (samples + USUAL_RATE_WEIGHT)
      );
      return Math.min(MAX_RATE, Math.max(MIN_RATE, usualRate, ...rates));
    });
  }

  /** Rate over the whole time. */
  usualRate(route: string, kind: FaultKind): number {
    return computeOnce(this.#usualRates, `${kind} ${route}`, () => {
      const slices = this.#countsOf(route, kind);
      return upperRate(sumUp(slices.flatMap((slice) => [...slice.values()])));
    });
  }

  #countsOf(route: string, kind: FaultKind): readonly SliceCounts[] {
    return computeOnce(this.#counts, `${kind} ${route}`, () => {
      const thresholds = this.thresholdsOf(route);
      return this.#slices.map((slice) => {
        const byDataCentre = new Map<string, BadCount>();
        for (const counts of slice) {
          if (counts.route !== route) continue;
          const key = counts.dataCentre ?? "";
          const count = countTolerated(counts, kind, thresholds);
          byDataCentre.set(
            key,
            addBad(byDataCentre.get(key) ?? NOTHING, count),
          );
        }
        return byDataCentre;
      });
    });
  }
}

function computeOnce<Value>(
  values: Map<string, Value>,
  key: string,
  compute: () => Value,
): Value {
  let value = values.get(key);
  if (value === undefined) {
    value = compute();
    values.set(key, value);
  }
  return value;
}

function sumUp(counts: readonly BadCount[]): BadCount {
  return counts.reduce(addBad, NOTHING);
}

/** The rate plus one standard deviation of its estimate. */
function upperRate({ samples, bad }: BadCount): number {
  const rate = Math.max(MIN_RATE, (bad + 0.5) / (samples + 1));
  return rate + Math.sqrt(Math.max(0, rate * (1 - rate)) / (samples + 1));
}
