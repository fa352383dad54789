/**
 * Tests whether the samples exclude a version with a fifth or more of bad
 * responses, on each route of the service.
 *
 * @module
 */

import { countBad, FAULT_KINDS, type FaultKind, sumBad } from "./bad_counts.js";
import { atMost } from "./binomial_tail.js";
import type { CurrentRates } from "./current_rates.js";
import { bucketsOfFactor, type CallCounts } from "./rollout_observations.js";
import { countFrom, countOf } from "./slow_responses.js";

/** Share of bad responses that must not go unnoticed. */
const MIN_FAULT_SHARE = 0.2;
/**
 * While the current version shows a higher rate, neither good nor bad responses
 * of the candidate tell anything.
 */
const MAX_EXPLAINED_RATE = 0.1;
/**
 * Routes with a smaller share of the service's calls can't be sampled enough;
 * they count for the service as a whole only.
 */
const MIN_ROUTE_SHARE = 0.05;

export interface ExclusionInput {
  readonly slices: readonly (readonly CallCounts[])[];
  readonly rates: CurrentRates;
  /** Duration of the last slices, from `recentSlice` on. */
  readonly recentMs: number;
  readonly recentSlice: number;
  /** Server whose responses are left out. */
  readonly withoutServer: string | undefined;
}

export interface MissRisk {
  /** Highest probability of so few bad responses if the version were faulty. */
  readonly probability: number;
  /** Route with that probability. */
  readonly route: string | undefined;
}

/**
 * Probability at which a version with a fault on one route would show as few
 * bad responses as were seen. Only the affected route can show the fault, so
 * that the highest probability over the routes counts without a correction for
 * their number.
 */
export function findMissRisk(input: ExclusionInput): MissRisk {
  const routes = busyRoutes(input.slices.flat());
  let highest: MissRisk = { probability: 0, route: undefined };
  for (const route of routes) {
    for (const kind of FAULT_KINDS) {
      const probability = missProbability(input, route, kind);
      if (probability > highest.probability) highest = { probability, route };
    }
  }
  return routes.length === 0 ? { probability: 1, route: undefined } : highest;
}

function busyRoutes(counts: readonly CallCounts[]): string[] {
  const sent = new Map<string, number>();
  let total = 0;
  for (const { route, sent: count } of counts) {
    sent.set(route, (sent.get(route) ?? 0) + count);
    total += count;
  }
  return [...sent].filter(([, count]) => count >= total * MIN_ROUTE_SHARE)
    .map(([route]) => route);
}

function missProbability(
  input: ExclusionInput,
  route: string,
  kind: FaultKind,
): number {
  const { rates, recentSlice, recentMs } = input;
  const thresholds = rates.thresholdsOf(route);
  const threshold = kind === "pauses" ? thresholds.pause : thresholds.response;
  if (threshold === undefined && kind !== "failures") return 0;
  const undisturbed = input.slices.map((slice, index) =>
    slice.filter((counts) =>
      counts.route === route &&
      rates.explainedRate(counts, kind, index) <=
        Math.max(MAX_EXPLAINED_RATE, 2 * rates.usualRate(route, kind))
    )
  );
  const candidate = undisturbed.map((slice) =>
    slice.filter(({ side, server }) =>
      side === "candidate" &&
      (input.withoutServer === undefined || server !== input.withoutServer)
    )
  );
  const { samples, bad } = sumBad(
    candidate.flat(),
    (counts) => countBad(counts, kind, thresholds),
  );
  if (threshold === undefined || kind === "failures") {
    return atMost(bad, samples, MIN_FAULT_SHARE);
  }
  const current = sumBad(
    undisturbed.flat().filter(({ side }) => side === "current"),
    (counts) => countBad(counts, kind, thresholds),
  );
  const baseRate = current.bad / Math.max(1, current.samples);
  const chance = baseRate * (1 - MIN_FAULT_SHARE) +
    MIN_FAULT_SHARE * threshold.detectedShare;
  const young = countYoung(candidate.slice(recentSlice).flat(), {
    bucket: threshold.bucket,
    recentMs,
  });
  return atMost(bad, Math.max(bad, samples - young), chance);
}

/**
 * Fast responses to calls that were sent too recently for a slow response to
 * have been noticed. Counting them would make slow responses look rarer than
 * they are.
 */
function countYoung(
  recent: readonly CallCounts[],
  at: { readonly bucket: number; readonly recentMs: number },
): number {
  const slowAfterMs = Math.exp(at.bucket / bucketsOfFactor(Math.E));
  let young = 0;
  for (const { sent, waiting } of recent) {
    const inFlight = countOf(waiting ?? []) - countFrom(waiting, at.bucket);
    const share = at.recentMs > 0 ? Math.min(1, slowAfterMs / at.recentMs) : 0;
    young += sent * share - inFlight;
  }
  return Math.max(0, Math.ceil(young));
}
