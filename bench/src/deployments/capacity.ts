/**
 * Computes how many requests per second a deployment's pools can serve.
 *
 * @module
 */

import type { Pipeline, Stage } from "@sassafrasstage/protocol/rules";
import type { Deployment, ServiceTimes } from "./deployment.js";

const MS_PER_SECOND = 1000;

export interface ServiceCapacity {
  readonly service: string;
  /** Rate of the whole request mix that saturates the service. */
  readonly requestsPerSecond: number;
}

/**
 * The capacity of each service that the mix uses, in ascending order.
 *
 * @example
 * ```ts
 * const [bottleneck] = computeCapacities(makeStratos());
 * ```
 */
export function computeCapacities(deployment: Deployment): ServiceCapacity[] {
  return deployment.serviceTimes
    .map((times) => ({
      service: times.service,
      requestsPerSecond: countSlots(deployment, times.service) * MS_PER_SECOND /
        computeWorkMsPerRequest(deployment, times),
    }))
    .filter((entry) => Number.isFinite(entry.requestsPerSecond))
    .sort((a, b) => a.requestsPerSecond - b.requestsPerSecond);
}

/** Requests per second that saturate the bottleneck service. */
export function computeTotalCapacity(deployment: Deployment): number {
  const [bottleneck] = computeCapacities(deployment);
  if (bottleneck === undefined) throw new RangeError("The mix uses no service");
  return bottleneck.requestsPerSecond;
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

/** Mean work of the service per request of the mix. */
function computeWorkMsPerRequest(
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
            (total, stage) => total + computeStageMs(stage, times, limit),
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

/** The mean duration of a stage at a fully loaded backend server. */
function computeStageMs(
  stage: Stage,
  times: ServiceTimes,
  warmLimit: number,
): number {
  switch (times.kind) {
    case "plain":
      return times.workMs + times.jitterMs / 2;
    case "modelEngine":
      return computeBatchSlowdown(warmLimit) *
        (times.firstTokenMs + (stage.maxTokens - 1) * times.betweenTokensMs);
  }
}

/** The factor by which a full batch slows each call at an engine stand-in. */
function computeBatchSlowdown(batchSize: number): number {
  return 1 + (batchSize - 1) / batchSize;
}
