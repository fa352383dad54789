/**
 * Weighs the evidence for a fault of the candidate by a mixture sequential
 * probability ratio test.
 *
 * The mean of the likelihood ratios of several faulty versions against a sound
 * one reaches R with a probability of at most 1/R if the version is sound,
 * however often it is computed (Ville's inequality).
 *
 * @module
 */

import { countBad, FAULT_KINDS, type FaultKind } from "./bad_counts.js";
import type { CurrentRates } from "./current_rates.js";
import type { CallCounts } from "./rollout_observations.js";

/** Shares of bad responses that a fault may cause. */
const FAULT_SHARES = [0.1, 0.25, 0.5, 0.9];

interface Observation {
  readonly sliceIndex: number;
  readonly route: string;
  readonly server: string;
  /** Logarithm of the likelihood ratio, by kind of fault and share. */
  readonly logRatios: readonly number[];
}

export class FaultEvidence {
  readonly #observations: readonly Observation[];

  private constructor(observations: readonly Observation[]) {
    this.#observations = observations;
  }

  /** Takes the counters of both sides by slices of time, oldest first. */
  static of(
    slices: readonly (readonly CallCounts[])[],
    rates: CurrentRates,
  ): FaultEvidence {
    return new FaultEvidence(
      slices.flatMap((slice, sliceIndex) =>
        slice.filter(({ side }) => side === "candidate").map((counts) => ({
          sliceIndex,
          route: counts.route,
          server: counts.server ?? "",
          logRatios: FAULT_KINDS.flatMap((kind) =>
            logRatiosOf(counts, kind, { rates, sliceIndex })
          ),
        }))
      ),
    );
  }

  /** The evidence of this slice and later ones. */
  since(firstSlice: number): FaultEvidence {
    return new FaultEvidence(
      this.#observations.filter(({ sliceIndex }) => sliceIndex >= firstSlice),
    );
  }

  /** Likelihood ratio of a faulty version, without one server if given. */
  ratioWithout(withoutServer: string | undefined): number {
    return this.#ratio(
      withoutServer === undefined
        ? this.#observations
        : this.#observations.filter(({ server }) => server !== withoutServer),
    );
  }

  /** Likelihood ratio of a faulty server. */
  ratioOf(server: string): number {
    return this.#ratio(
      this.#observations.filter((item) => item.server === server),
    );
  }

  #ratio(observations: readonly Observation[]): number {
    if (observations.length === 0) return 1;
    const whole = meanRatio(observations);
    const routes = [...new Set(observations.map(({ route }) => route))];
    if (routes.length < 2) return whole;
    const byRoute = routes.map((route) =>
      meanRatio(observations.filter((item) => item.route === route))
    );
    return (whole + mean(byRoute)) / 2;
  }
}

function logRatiosOf(
  counts: CallCounts,
  kind: FaultKind,
  at: { readonly rates: CurrentRates; readonly sliceIndex: number },
): number[] {
  const thresholds = at.rates.thresholdsOf(counts.route);
  const { samples, bad } = countBad(counts, kind, thresholds);
  if (samples === 0) return FAULT_SHARES.map(() => 0);
  const soundRate = at.rates.explainedRate(counts, kind, at.sliceIndex);
  return FAULT_SHARES.map((share) => {
    const faultyRate = soundRate + share * (1 - soundRate);
    return bad * Math.log(faultyRate / soundRate) +
      (samples - bad) * Math.log((1 - faultyRate) / (1 - soundRate));
  });
}

function meanRatio(observations: readonly Observation[]): number {
  const hypotheses = FAULT_KINDS.length * FAULT_SHARES.length;
  return mean(
    Array.from({ length: hypotheses }, (_, index) =>
      Math.exp(
        observations.reduce(
          (sum, { logRatios }) => sum + (logRatios[index] ?? 0),
          0,
        ),
      )),
  );
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
