/**
 * Converts a deployment to a plan for the harness that starts real processes.
 *
 * @module
 */

import type { Service } from "@sassafrasstage/protocol/register";
import type {
  ClusterPlan,
  ServicePlan,
} from "@sassafrasstage/stand-ins/cluster/cluster_plan";
import type { Deployment, ServiceTimes } from "./deployment.js";
import { exampleKey, readExampleSettings } from "./example_files.js";

export type PolicyName = "current" | "baseline";

export interface ClusterPlanOptions {
  readonly policy: PolicyName;
  readonly seed: number;
  readonly queueOrder?: string;
  readonly prefixAffinity?: "on" | "off";
}

/**
 * @example
 * ```ts
 * const plan = makeClusterPlan(deployment, { policy: "current", seed: 1 });
 * const cluster = await startCluster(plan);
 * ```
 */
export function makeClusterPlan(
  deployment: Deployment,
  options: ClusterPlanOptions,
): ClusterPlan {
  const { register, rules } = deployment.content;
  const vms = readExampleSettings(deployment.name);
  return {
    seed: options.seed,
    dataCentres: register.dataCentres.map(({ name, region }) => ({
      name,
      region,
      entryVmCount: vms.filter(({ vm }) => vm.data_centre === name).length,
    })),
    services: register.services.map((service) =>
      makeServicePlan(deployment, service)
    ),
    pipelines: rules.pipelines,
    clientAccounts: rules.clientAccounts.map(({ id, share }) => ({
      id,
      share,
      key: exampleKey(id),
    })),
    settings: {
      log: { level: "warn" },
      policy: {
        name: options.policy,
        queue_order: options.queueOrder ?? "slack",
        prefix_affinity: options.prefixAffinity ?? "off",
      },
    },
  };
}

function makeServicePlan(
  deployment: Deployment,
  service: Service,
): ServicePlan {
  const limits = {
    name: service.name,
    serversPerDataCentre: countServers(deployment, service.name),
    warmLimit: service.warmLimit,
    coldLimit: service.coldLimit,
    warmAfterCompletions: service.warmAfterCompletions,
    coldAfterIdleMs: service.coldAfterIdleMs,
  };
  const times = findServiceTimes(deployment, service.name);
  switch (times.kind) {
    case "plain":
      return {
        ...limits,
        kind: "plain",
        behaviour: {
          workMs: times.workMs,
          jitterMs: times.jitterMs,
          concurrency: service.warmLimit,
        },
      };
    case "modelEngine":
      return {
        ...limits,
        kind: "modelEngine",
        behaviour: {
          timings: {
            firstTokenMs: times.firstTokenMs,
            betweenTokensMs: times.betweenTokensMs,
          },
          prefixCache: { capacity: times.prefixCapacity },
        },
      };
  }
}

function countServers(
  deployment: Deployment,
  service: string,
): Record<string, number> {
  const { dataCentres, backendServers } = deployment.content.register;
  return Object.fromEntries(dataCentres.map(({ name }) => [
    name,
    backendServers.filter((server) =>
      server.service === service && server.dataCentre === name
    ).length,
  ]));
}

function findServiceTimes(
  deployment: Deployment,
  service: string,
): ServiceTimes {
  const times = deployment.serviceTimes
    .find((entry) => entry.service === service);
  if (times !== undefined) return times;
  throw new RangeError(`No service times are given for "${service}"`);
}
