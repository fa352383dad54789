/**
 * The small deployment that the demo starts, and the requests it sends.
 *
 * @module
 */

import type {
  ClusterPlan,
  ServicePlan,
} from "@sassafrasstage/stand-ins/cluster/cluster_plan";

export const DEMO_KEY = "demo-key";

export interface DemoRequest {
  readonly title: string;
  readonly pipeline: string;
  readonly input: unknown;
  readonly stream?: boolean;
  readonly idempotencyKey?: string;
}

const LIMITS = { serversPerDataCentre: 1, warmLimit: 8, coldLimit: 2 };

function makePlainService(name: string, workMs: number): ServicePlan {
  return { ...LIMITS, name, kind: "plain", behaviour: { workMs } };
}

export const DEMO_PLAN: ClusterPlan = {
  dataCentres: [
    { name: "palermo", entryVmCount: 2 },
    { name: "catania", entryVmCount: 1 },
  ],
  services: [
    makePlainService("encoder", 8),
    makePlainService("retriever", 12),
    makePlainService("reranker", 10),
    makePlainService("certificate-registry", 15),
    {
      ...LIMITS,
      name: "language-model",
      kind: "modelEngine",
      behaviour: { timings: { firstTokenMs: 40, betweenTokensMs: 5 } },
    },
  ],
  pipelines: [
    {
      name: "dossier",
      urgency: "deferrable",
      deadlineMs: 5000,
      stages: [
        { name: "encode", service: "encoder", operation: "embed" },
        { name: "retrieve", service: "retriever", operation: "search" },
        { name: "rerank", service: "reranker", operation: "rank" },
        {
          name: "generate",
          service: "language-model",
          operation: "completions",
          maxTokens: 16,
        },
      ],
    },
    {
      name: "certificate-issue",
      urgency: "counter",
      deadlineMs: 2000,
      stages: [
        {
          name: "issue",
          service: "certificate-registry",
          operation: "issue",
          idempotent: false,
        },
      ],
    },
  ],
  clientAccounts: [{ id: "boutique", key: DEMO_KEY }],
  settings: { log: { level: "warn" } },
};

const ISSUE_REQUEST: DemoRequest = {
  title: "Issue a certificate number: non-idempotent, with an idempotency key",
  pipeline: "certificate-issue",
  input: "Certificate for handbag 1182",
  idempotencyKey: "handbag-1182",
};

export const DEMO_REQUESTS: readonly DemoRequest[] = [
  {
    title: "Write a dossier",
    pipeline: "dossier",
    input: "Leather handbag, Palermo, 1962",
  },
  {
    title: "Write a dossier, streamed",
    pipeline: "dossier",
    input: "Silver coin, Syracuse",
    stream: true,
  },
  ISSUE_REQUEST,
  {
    ...ISSUE_REQUEST,
    title: "Repeat the same key: returns the recorded answer, not a new number",
  },
];
