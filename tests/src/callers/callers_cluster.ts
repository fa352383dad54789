/**
 * The small cluster that the tests of the pipeline API share.
 *
 * @module
 */

import {
  type Cluster,
  startCluster,
} from "@sassafrasstage/stand-ins/cluster/cluster";
import type {
  ClusterPlan,
  ServicePlan,
} from "@sassafrasstage/stand-ins/cluster/cluster_plan";

export const CALLER_KEY = "boutique-key";
export const DRAFT_TOKENS = 24;

const LIMITS = {
  serversPerDataCentre: 2,
  warmLimit: 16,
  coldLimit: 2,
  warmAfterCompletions: 4,
} as const;

const SERVICES: readonly ServicePlan[] = [
  { name: "encoder", kind: "plain", ...LIMITS },
  { name: "generator", kind: "modelEngine", ...LIMITS },
  { name: "registry", kind: "plain", ...LIMITS },
];

const PLAN: ClusterPlan = {
  dataCentres: [{ name: "palermo", entryVmCount: 1 }],
  services: SERVICES,
  pipelines: [
    {
      name: "draft",
      urgency: "deferrable",
      deadlineMs: 10_000,
      stages: [
        { name: "encode", service: "encoder", operation: "encode" },
        {
          name: "write",
          service: "generator",
          operation: "completions",
          maxTokens: DRAFT_TOKENS,
        },
      ],
    },
    {
      name: "issue",
      urgency: "counter",
      deadlineMs: 5000,
      stages: [{
        name: "issue",
        service: "registry",
        operation: "issue",
        idempotent: false,
      }],
    },
  ],
  clientAccounts: [{ id: "boutique", key: CALLER_KEY }],
};

/** Runs a test against a new cluster, which is stopped afterwards. */
export async function withCluster(
  test: (cluster: Cluster, url: string) => Promise<void>,
): Promise<void> {
  const cluster = await startCluster(PLAN);
  try {
    await test(cluster, cluster.daemons[0]?.httpUrl ?? "");
  } finally {
    await cluster.stop();
  }
}

/** Returns the number of calls that a service's backend servers admitted. */
export async function countRuns(
  cluster: Cluster,
  service: string,
): Promise<number> {
  let runs = 0;
  for (const server of cluster.serversOf(service)) {
    runs += (await server.record()).runs;
  }
  return runs;
}
