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
  const servers = deployment.content.register.backendServers
    .filter((entry) => entry.service === service);
  return servers.length * findWarmLimit(deployment, service);
}

function findWarmLimit(deployment: Deployment, service: string): number {
  const entry = deployment.content.register.services
    .find(({ name }) => name === service);
  if (entry !== undefined) return entry.warmLimit;
  throw new RangeError(`No service is named "${service}"`);
}

/** Work of the service for the mean request of the mix. */
function findWorkMsPerRequest(
  deployment: Deployment,
  times: ServiceTimes,
): number {
  const mix = deployment.pipelineMix;
  const limit = findWarmLimit(deployment, times.service);
  const totalWeight = mix.reduce((sum, entry) => sum + entry.weight, 0);
  const workMs = mix.reduce((sum, entry) => {
    const pipeline = findPipeline(deployment, entry.name);
    const stages = pipeline.stages
      .filter((stage) => stage.service === times.service);
    return sum + entry.weight * stages
          .reduce(
            (total, stage) => total + findStageMs(stage, times, limit),
            0,
          );
  }, 0);
  return workMs / totalWeight;
}

function findPipeline(deployment: Deployment, name: string): Pipeline {
  const pipeline = deployment.content.rules.pipelines
    .find((entry) => entry.name === name);
  if (pipeline !== undefined) return pipeline;
  throw new RangeError(`No pipeline is named "${name}"`);
}

/** The mean time of a stage at a backend server with all its calls running. */
function findStageMs(
  stage: Stage,
  times: ServiceTimes,
  warmLimit: number,
): number {
  switch (times.kind) {
    case "plain":
      return times.workMs + times.jitterMs / 2;
    case "modelEngine":
      return findSlowdown(warmLimit) *
        (times.firstTokenMs + (stage.maxTokens - 1) * times.betweenTokensMs);
  }
}

/** How much a full batch slows each of its calls at an engine stand-in. */
function findSlowdown(batchSize: number): number {
  return 1 + (batchSize - 1) / batchSize;
}
