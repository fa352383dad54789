/**
 * The plan of the cluster that most tests use.
 *
 * @module
 */

import type {
  ClusterPlan,
  DataCentrePlan,
  PipelinePlan,
  ServicePlan,
  SettingsOverrides,
} from "@sassafrasstage/stand-ins/cluster/cluster_plan";

/** The key of the only client account. */
export const CLIENT_KEY = "boutique-key";

export const DRAFT_TOKENS = 8;
export const STORY_TOKENS = 120;

const ENCODE_STAGE = {
  name: "encode",
  service: "encoder",
  operation: "encode",
};

/** Pipelines of the sample cluster, by name. */
export const PIPELINES = {
  lookup: {
    name: "lookup",
    urgency: "counter",
    deadlineMs: 8000,
    stages: [ENCODE_STAGE, {
      name: "rank",
      service: "reranker",
      operation: "rerank",
    }],
  },
  draft: {
    name: "draft",
    urgency: "deferrable",
    deadlineMs: 12_000,
    stages: [ENCODE_STAGE, {
      name: "write",
      service: "generator",
      operation: "completions",
      maxTokens: DRAFT_TOKENS,
    }],
  },
  story: {
    name: "story",
    urgency: "deferrable",
    deadlineMs: 20_000,
    stages: [{
      name: "write",
      service: "generator",
      operation: "completions",
      maxTokens: STORY_TOKENS,
    }],
  },
  issue: {
    name: "issue",
    urgency: "counter",
    deadlineMs: 8000,
    stages: [ENCODE_STAGE, {
      name: "issue",
      service: "registry",
      operation: "issue",
      idempotent: false,
    }],
  },
} as const satisfies Record<string, PipelinePlan>;

export type SamplePipeline = keyof typeof PIPELINES;

const LIMITS = {
  serversPerDataCentre: 2,
  warmLimit: 16,
  coldLimit: 2,
  warmAfterCompletions: 10,
} as const;

/** Services of the sample cluster; all stand-ins start warm. */
export const SERVICES: readonly ServicePlan[] = [
  { name: "encoder", kind: "plain", ...LIMITS },
  { name: "reranker", kind: "plain", ...LIMITS },
  { name: "registry", kind: "plain", ...LIMITS },
  {
    name: "generator",
    kind: "modelEngine",
    ...LIMITS,
    behaviour: { timings: { firstTokenMs: 10, betweenTokensMs: 5 } },
  },
];

/** The same services with stand-ins that start cold. */
export const COLD_SERVICES: readonly ServicePlan[] = SERVICES.map(
  (service) => ({
    ...service,
    behaviour: { ...service.behaviour, coldStart: { isColdAtStart: true } },
  }),
);

export const TWO_DATA_CENTRES: readonly DataCentrePlan[] = [
  { name: "palermo", entryVmCount: 2 },
  { name: "catania", entryVmCount: 2 },
];

export interface SampleOptions {
  readonly dataCentres?: readonly DataCentrePlan[];
  readonly services?: readonly ServicePlan[];
  readonly settings?: SettingsOverrides;
  /** Upper bound of the deadlines of all pipelines. */
  readonly maxDeadlineMs?: number;
}

/**
 * Returns the plan of a proxied cluster, by default of two data centres with
 * two entry VMs each.
 *
 * @example
 * ```ts
 * const cluster = await startCluster(makeSamplePlan());
 * ```
 */
export function makeSamplePlan(options: SampleOptions = {}): ClusterPlan {
  return {
    dataCentres: options.dataCentres ?? TWO_DATA_CENTRES,
    services: options.services ?? SERVICES,
    pipelines: Object.values(PIPELINES).map((pipeline) => ({
      ...pipeline,
      deadlineMs: Math.min(
        pipeline.deadlineMs,
        options.maxDeadlineMs ?? Infinity,
      ),
    })),
    clientAccounts: [{ id: "boutique", key: CLIENT_KEY }],
    settings: options.settings ?? {},
    isProxied: true,
  };
}
