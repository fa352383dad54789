/**
 * What a bench scenario is: a load and the faults that fall into it.
 *
 * @module
 */

import type { Cluster } from "@sassafrasstage/stand-ins/cluster/cluster";
import { findTotalCapacity } from "../deployments/capacity.js";
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

/** Something done to the running cluster. */
export interface ScenarioEvent {
  readonly name: string;
  /** When, as a part of the measured time. */
  readonly atPart: number;
  run(cluster: Cluster, deployment: Deployment): Promise<void>;
}

export interface Scenario {
  readonly name: ScenarioName;
  /** The mean load as a part of the pools' capacity. */
  readonly loadPart: number;
  /** A client account's extra load for the middle third of the time. */
  readonly burstPart?: number;
  readonly events: readonly ScenarioEvent[];
}

export interface ScenarioTimes {
  readonly warmUpMs: number;
  readonly measuredMs: number;
}

/** The load while the backend servers warm up. */
const WARM_UP_PART = 0.3;

/**
 * The load of a scenario: first the warm-up, then what is measured.
 *
 * @example
 * ```ts
 * const streams = makeStreams(scenario, deployment, times);
 * ```
 */
export function makeStreams(
  scenario: Scenario,
  deployment: Deployment,
  times: ScenarioTimes,
): ArrivalStream[] {
  const capacity = findTotalCapacity(deployment);
  const endMs = times.warmUpMs + times.measuredMs;
  const everyone = {
    pipelines: deployment.pipelineMix,
    clientAccounts: deployment.clientAccountMix,
  };
  const streams: ArrivalStream[] = [
    {
      ...everyone,
      startMs: 0,
      endMs: times.warmUpMs,
      requestsPerSecond: WARM_UP_PART * capacity,
    },
    {
      ...everyone,
      startMs: times.warmUpMs,
      endMs,
      requestsPerSecond: scenario.loadPart * capacity,
    },
  ];
  if (scenario.burstPart === undefined) return streams;
  return [...streams, {
    pipelines: deployment.pipelineMix,
    clientAccounts: [{ name: deployment.burstingAccount, weight: 1 }],
    startMs: times.warmUpMs + times.measuredMs / 3,
    endMs: times.warmUpMs + 2 * times.measuredMs / 3,
    requestsPerSecond: scenario.burstPart * capacity,
  }];
}
