/**
 * The cluster of the claim tests, and helpers that send requests to its registry
 * and count the runs.
 *
 * @module
 */

import type { Cluster } from "@sassafrasstage/stand-ins/cluster/cluster";
import type { PipelineResult } from "@sassafrasstage/stand-ins/cluster/caller";
import type { ClusterPlan } from "@sassafrasstage/stand-ins/cluster/cluster_plan";
import { setTimeout as sleep } from "node:timers/promises";

/** Long enough to inject a fault into a daemon while its call runs. */
export const WORK_MS = 400;
const POLL_INTERVAL_MS = 10;
const WAIT_TIMEOUT_MS = 15_000;
const CALLER_KEY = "boutique-key";

/** Two data centres, and a registry whose `issue` operation isn't idempotent. */
export const CLAIMS_PLAN: ClusterPlan = {
  dataCentres: [
    { name: "palermo", entryVmCount: 2 },
    { name: "catania", entryVmCount: 1 },
  ],
  services: [{
    name: "registry",
    kind: "plain",
    serversPerDataCentre: 2,
    warmLimit: 16,
    coldLimit: 8,
    behaviour: { workMs: WORK_MS },
  }],
  pipelines: [{
    name: "issue",
    urgency: "counter",
    deadlineMs: 8000,
    stages: [{
      name: "issue",
      service: "registry",
      operation: "issue",
      idempotent: false,
    }],
  }],
  clientAccounts: [{ id: "boutique", key: CALLER_KEY }],
  isProxied: true,
};

export interface CertificateRequest {
  /** Without one, the request carries no `Idempotency-Key`. */
  readonly key?: string;
  /** Identifies the request in the registry's record. */
  readonly marker: string;
  readonly deadlineMs?: number;
  readonly signal?: AbortSignal;
}

/**
 * Sends one request for a certificate number.
 *
 * @example
 * ```ts
 * const result = await requestCertificate(cluster, "vm-palermo-1", { key, marker: key });
 * ```
 */
export function requestCertificate(
  cluster: Cluster,
  vmId: string,
  request: CertificateRequest,
): Promise<PipelineResult> {
  return cluster.caller.send(cluster.daemon(vmId).httpUrl, {
    pipeline: "issue",
    key: CALLER_KEY,
    input: `certificate <<${request.marker}>>`,
    ...(request.key !== undefined && { idempotencyKey: request.key }),
    ...(request.deadlineMs !== undefined && { deadlineMs: request.deadlineMs }),
    ...(request.signal !== undefined && { signal: request.signal }),
  });
}

/** Returns how often the registry ran a request, summed over its servers. */
export async function countRuns(
  cluster: Cluster,
  marker: string,
): Promise<number> {
  const records = await Promise.all(
    cluster.serversOf("registry").map((server) => server.record()),
  );
  return records
    .flatMap((record) => record.entries)
    .filter((entry) => entry.marker === `<<${marker}>>`).length;
}

export async function waitUntilRunning(
  cluster: Cluster,
  marker: string,
): Promise<void> {
  await waitUntil(
    async () => await countRuns(cluster, marker) > 0,
    `${marker} runs`,
  );
}

/**
 * Waits until the condition holds; throws if it doesn't within 15 s.
 *
 * @example
 * ```ts
 * await waitUntil(() => Promise.resolve(isDone), "all calls have ended");
 * ```
 */
export async function waitUntil(
  condition: () => Promise<boolean>,
  description: string,
): Promise<void> {
  const endAtMs = performance.now() + WAIT_TIMEOUT_MS;
  while (!(await condition())) {
    if (performance.now() > endAtMs) throw new Error(`Timeout: ${description}`);
    await sleep(POLL_INTERVAL_MS);
  }
}

/** Returns the answer's text, the reason of the refusal, or the result's kind. */
export function answerOrReason(result: PipelineResult): string {
  switch (result.kind) {
    case "answer":
      return result.text;
    case "problem":
      return result.problem.reason;
    case "notConnected":
    case "broken":
      return result.kind;
  }
}
