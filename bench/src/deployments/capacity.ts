/**
 * How many requests a second a deployment's pools can bear.
 *
 * @module
 */

import type { Pipeline, Stage } from "@sassafrasstage/protocol/rules";
import type { Deployment, ServiceTimes } from "./deployment.js";

const MS_PER_SECOND = 1000;

export interface ServiceCapacity {
  readonly service: string;
  /** Requests of the whole mix a second at which the service is full. */
  readonly requestsPerSecond: number;
}

/**
 * The capacity of each service that the mix uses, the tightest one first.
 *
 * @example
 * ```ts
 * const [bottleneck] = findCapacities(makeStratos());
 * ```
 */
export function findCapacities(deployment: Deployment): ServiceCapacity[] {
  return deployment.serviceTimes
    .map((times) => ({
      service: times.service,
      requestsPerSecond: countSlots(deployment, times.service) * MS_PER_SECOND /
        findWorkMsPerRequest(deployment, times),
    }))
    .filter((entry) => Number.isFinite(entry.requestsPerSecond))
    .sort((one, other) => one.requestsPerSecond - other.requestsPerSecond);
}

/** Requests a second at which the tightest service is full. */
export function findTotalCapacity(deployment: Deployment): number {
  const [tightest] = findCapacities(deployment);
  if (tightest === undefined) throw new RangeError("The mix uses no service");
  return tightest.requestsPerSecond;
}

function countSlots(deployment: Deployment, service: string): number {
  const { services, backendServers } = deployment.content.register;
  const limit = services.find((entry) => entry.name === service)?.warmLimit;
  const servers = backendServers.filter((entry) => entry.service === service);
  return servers.length * (limit ?? 0);
}

/** Work of the service for the mean request of the mix. */
function findWorkMsPerRequest(
  deployment: Deployment,
  times: ServiceTimes,
): number {
  const mix = deployment.pipelineMix;
  const totalWeight = mix.reduce((sum, entry) => sum + entry.weight, 0);
  const workMs = mix.reduce((sum, entry) => {
    const pipeline = findPipeline(deployment, entry.name);
    const stages = pipeline.stages
      .filter((stage) => stage.service === times.service);
    return sum + entry.weight * stages
          .reduce((total, stage) => total + findStageMs(stage, times), 0);
  }, 0);
  return workMs / totalWeight;
}

function findPipeline(deployment: Deployment, name: string): Pipeline {
  const pipeline = deployment.content.rules.pipelines
    .find((entry) => entry.name === name);
  if (pipeline !== undefined) return pipeline;
  throw new RangeError(`No pipeline is named "${name}"`);
}

/** The mean time of a stage at a full backend server. */
function findStageMs(stage: Stage, times: ServiceTimes): number {
  switch (times.kind) {
    case "plain":
      return times.workMs + times.jitterMs / 2;
    case "modelEngine":
      return FULL_BATCH_SLOWDOWN *
        (times.firstTokenMs + (stage.maxTokens - 1) * times.betweenTokensMs);
  }
}

/** An engine stand-in with all 8 calls of its batch running. */
export const ENGINE_BATCH_SIZE = 8;
const FULL_BATCH_SLOWDOWN = 1 + (ENGINE_BATCH_SIZE - 1) / ENGINE_BATCH_SIZE;
