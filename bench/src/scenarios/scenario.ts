/**
 * Defines a benchmark scenario: a load and the events during it.
 *
 * @module
 */

import type { Cluster } from "@sassafrasstage/stand-ins/cluster/cluster";
import { computeTotalCapacity } from "../deployments/capacity.js";
import type { Deployment } from "../deployments/deployment.js";
import type { ArrivalStream } from "../load/arrivals.js";

export const SCENARIO_NAMES = [
  "steady",
  "overload",
  "burst",
  "cold-restart",
  "vm-killed",
  "data-centre-leaves-and-returns",
  "platform-outage",
] as const;
export type ScenarioName = (typeof SCENARIO_NAMES)[number];

/** An operation on the running cluster, such as an injected fault. */
export interface ScenarioEvent {
  readonly name: string;
  /** Time of the event as a fraction of the measured duration. */
  readonly atFraction: number;
  run(cluster: Cluster, deployment: Deployment): Promise<void>;
}

export interface Scenario {
  readonly name: ScenarioName;
  /** The mean load as a fraction of the pools' capacity. */
  readonly loadFraction: number;
  /**
   * Additional load of one client account in the middle third of the measured
   * duration, as a fraction of the pools' capacity.
   */
  readonly burstFraction?: number;
  readonly events: readonly ScenarioEvent[];
}

export interface ScenarioTimes {
  readonly warmUpMs: number;
  readonly measuredMs: number;
}

/** The load during the warm-up, as a fraction of the capacity. */
const WARM_UP_LOAD_FRACTION = 0.3;

/**
 * The load of a scenario: the warm-up, then the measured part.
 *
 * @example
 * ```ts
 * const streams = makeArrivalStreams(scenario, deployment, times);
 * ```
 */
export function makeArrivalStreams(
  scenario: Scenario,
  deployment: Deployment,
  times: ScenarioTimes,
): ArrivalStream[] {
  const capacity = computeTotalCapacity(deployment);
  const endMs = times.warmUpMs + times.measuredMs;
  const normalMix = {
    pipelines: deployment.pipelineMix,
    clientAccounts: deployment.clientAccountMix,
  };
  const streams: ArrivalStream[] = [
    {
      ...normalMix,
      startMs: 0,
      endMs: times.warmUpMs,
      requestsPerSecond: WARM_UP_LOAD_FRACTION * capacity,
    },
    {
      ...normalMix,
      startMs: times.warmUpMs,
      endMs,
      requestsPerSecond: scenario.loadFraction * capacity,
    },
  ];
  if (scenario.burstFraction === undefined) return streams;
  return [...streams, {
    pipelines: deployment.pipelineMix,
    clientAccounts: [{ name: deployment.burstingAccount, weight: 1 }],
    startMs: times.warmUpMs + times.measuredMs / 3,
    endMs: times.warmUpMs + 2 * times.measuredMs / 3,
    requestsPerSecond: scenario.burstFraction * capacity,
  }];
}
