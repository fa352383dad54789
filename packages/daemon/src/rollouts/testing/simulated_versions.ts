/**
 * Calls to two versions of a service in virtual time, for tests of the canary
 * analysis.
 *
 * @module
 */

import {
  type BackendServerId,
  type DataCentreName,
  toId,
} from "@sassafrasstage/protocol/ids";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { CallCounts, VersionSide } from "../rollout_observations.js";
import {
  countCalls,
  type EndedCall,
  keyOf,
  type SimulatedCall,
} from "./count_calls.js";

/**
 * The first numbers of consecutive seeds are nearly equal: the first one is
 * over 0.99 for each seed from 1 to 200.
 */
const SKIPPED_DRAWS = 20;

export class Random {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
    for (let i = 0; i < SKIPPED_DRAWS; i++) this.between(0, 1);
  }

  /** Uniform between the bounds. */
  between(min: number, max: number): number {
    return min + (max - min) * uniformFloat64(this.#generator);
  }

  chance(probability: number): boolean {
    return this.between(0, 1) < probability;
  }

  below(count: number): number {
    return Math.floor(this.between(0, count));
  }

  /** Log-normal with median 1. */
  spread(sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.between(0, 1)));
    return Math.exp(sigma * radius * Math.cos(this.between(0, 2 * Math.PI)));
  }
}

/** Bad responses of the candidate, or of both sides. */
export interface SimulatedFault {
  readonly kind: "failure" | "slow";
  readonly share: number;
  /** For slow responses. */
  readonly factor: number;
  readonly fromMs: number;
  readonly untilMs: number;
  readonly applies: (call: SimulatedCall) => boolean;
}

export interface SimulatedService {
  /** Share of the calls and median duration by route. */
  readonly routes: readonly {
    readonly share: number;
    readonly medianMs: number;
  }[];
  /** Standard deviation of the logarithm of durations. */
  readonly sigma: number;
  readonly failureRate: number;
  readonly currentPerSecond: number;
  readonly candidatePerSecond: number;
  /** Servers of the candidate and the factor of their durations. */
  readonly candidateSpeeds: readonly number[];
  readonly candidateFromMs: number;
  readonly faults: readonly SimulatedFault[];
}

const DATA_CENTRES = ["east", "west", "north"].map((name) =>
  toId<DataCentreName>(name)
);

export class SimulatedVersions {
  readonly #calls: EndedCall[] = [];

  constructor(service: SimulatedService, endMs: number, random: Random) {
    for (const side of ["current", "candidate"] as const) {
      const isCurrent = side === "current";
      const perSecond = isCurrent
        ? service.currentPerSecond
        : service.candidatePerSecond;
      let atMs = isCurrent ? 0 : service.candidateFromMs;
      for (;;) {
        atMs -= Math.log(1 - random.between(0, 1)) * 1000 / perSecond;
        if (atMs >= endMs) break;
        this.#calls.push(makeCall(service, { side, atMs, random }));
      }
    }
  }

  /** Cumulative counts as a VM reports them. */
  countsAt(nowMs: number): CallCounts[] {
    return countCalls(this.#calls, nowMs);
  }
}

function makeCall(
  service: SimulatedService,
  { side, atMs, random }: {
    readonly side: VersionSide;
    readonly atMs: number;
    readonly random: Random;
  },
): EndedCall {
  const isCandidate = side === "candidate";
  const serverIndex = random.below(
    isCandidate ? service.candidateSpeeds.length : 30,
  );
  // The owner of permits samples the routes evenly.
  const routeIndex = isCandidate
    ? random.below(service.routes.length)
    : drawRoute(service, random);
  const call: SimulatedCall = {
    side,
    route: `route-${routeIndex}`,
    server: toId<BackendServerId>(`${side}-${serverIndex}`),
    dataCentre: DATA_CENTRES[serverIndex % DATA_CENTRES.length] ??
      toId<DataCentreName>("east"),
    sentAtMs: atMs,
  };
  const speed = isCandidate
    ? service.candidateSpeeds[serverIndex] ?? 1
    : random.between(0.8, 1.3);
  let durationMs = (service.routes[routeIndex]?.medianMs ?? 100) * speed *
    random.spread(service.sigma);
  let isFailed = random.chance(service.failureRate);
  for (const fault of service.faults) {
    if (atMs < fault.fromMs || atMs >= fault.untilMs) continue;
    if (!fault.applies(call) || !random.chance(fault.share)) continue;
    if (fault.kind === "slow") durationMs *= fault.factor;
    else isFailed = true;
  }
  return { ...call, key: keyOf(call), durationMs, isFailed };
}

function drawRoute({ routes }: SimulatedService, random: Random): number {
  let left = random.between(0, 1);
  for (const [index, { share }] of routes.entries()) {
    left -= share;
    if (left < 0) return index;
  }
  return 0;
}
