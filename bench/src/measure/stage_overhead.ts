/**
 * Measures the time that the system adds to a stage: alternates between direct
 * calls to a stand-in and calls through a pipeline of one stage.
 *
 * @module
 */

import { startCluster } from "@sassafrasstage/stand-ins/cluster/cluster";
import type { Cluster } from "@sassafrasstage/stand-ins/cluster/cluster";
import type { ClusterPlan } from "@sassafrasstage/stand-ins/cluster/cluster_plan";
import { Agent, type Dispatcher, request } from "undici";
import { callPipeline } from "../load/pipeline_call.js";
import { computePercentile } from "../load/summary.js";

const CLIENT_KEY = "overhead-key";
const SERVICE = "encoder";
const OPERATION = "embed";
const INPUT = "A text of usual length, some words long, as callers send it";
const WARM_UP_CALLS = 100;
const CALL_TIMEOUT_MS = 5000;

const PLAN: ClusterPlan = {
  dataCentres: [
    { name: "palermo", entryVmCount: 3 },
    { name: "catania", entryVmCount: 3 },
  ],
  services: [{
    name: SERVICE,
    kind: "plain",
    serversPerDataCentre: 2,
    warmLimit: 8,
    coldLimit: 2,
    behaviour: { workMs: 5 },
  }],
  pipelines: [{
    name: "encode",
    urgency: "counter",
    deadlineMs: 2000,
    stages: [{ name: "encode", service: SERVICE, operation: OPERATION }],
  }],
  clientAccounts: [{ id: "caller", key: CLIENT_KEY }],
  settings: { log: { level: "warn" } },
};

/** Percentiles in milliseconds. */
export interface OverheadPercentiles {
  readonly medianMs: number;
  readonly p99Ms: number;
}

export interface StageOverhead {
  readonly calls: number;
  /** Direct calls to the stand-in. */
  readonly straight: OverheadPercentiles;
  /** The stage duration that the answer reports. */
  readonly stage: OverheadPercentiles;
  /** The duration of the whole request as the caller measures it. */
  readonly request: OverheadPercentiles;
  /** The difference between the stage and the direct call. */
  readonly added: OverheadPercentiles;
}

/**
 * @example
 * ```ts
 * const { added } = await measureStageOverhead(1000);
 * ```
 */
export async function measureStageOverhead(
  calls: number,
): Promise<StageOverhead> {
  const cluster = await startCluster(PLAN);
  const dispatcher = new Agent();
  try {
    await measureAlternating({ cluster, dispatcher, calls: WARM_UP_CALLS });
    return await measureAlternating({ cluster, dispatcher, calls });
  } finally {
    await dispatcher.close();
    await cluster.stop();
  }
}

interface MeasurementRun {
  readonly cluster: Cluster;
  readonly dispatcher: Dispatcher;
  readonly calls: number;
}

async function measureAlternating(run: MeasurementRun): Promise<StageOverhead> {
  const { cluster, calls } = run;
  const directMs: number[] = [];
  const stageMs: number[] = [];
  const requestMs: number[] = [];
  for (let call = 0; call < calls; call += 1) {
    const server = cluster.servers[call % cluster.servers.length];
    const daemon = cluster.daemons[call % cluster.daemons.length];
    if (server === undefined || daemon === undefined) break;
    directMs.push(await callServerDirectly(run, server.url));
    const timing = await callThroughPipeline(run, daemon.httpUrl);
    stageMs.push(timing.stageMs);
    requestMs.push(timing.requestMs);
  }
  const straight = computePercentiles(directMs);
  const stage = computePercentiles(stageMs);
  return {
    calls,
    straight,
    stage,
    request: computePercentiles(requestMs),
    added: {
      medianMs: stage.medianMs - straight.medianMs,
      p99Ms: stage.p99Ms - straight.p99Ms,
    },
  };
}

async function callServerDirectly(
  run: MeasurementRun,
  url: string,
): Promise<number> {
  const startedAtMs = performance.now();
  const answer = await request(`${url}/v1/${OPERATION}`, {
    dispatcher: run.dispatcher,
    method: "POST",
    headers: { "content-type": "application/json", "x-request-id": "straight" },
    body: JSON.stringify({ input: { input: INPUT } }),
    signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
  });
  await answer.body.json();
  return performance.now() - startedAtMs;
}

async function callThroughPipeline(
  run: MeasurementRun,
  baseUrl: string,
): Promise<{ readonly stageMs: number; readonly requestMs: number }> {
  const startedAtMs = performance.now();
  const reply = await callPipeline(
    { baseUrl, pipeline: "encode", key: CLIENT_KEY, input: INPUT },
    {
      dispatcher: run.dispatcher,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    },
  );
  const requestMs = performance.now() - startedAtMs;
  if (reply.kind === "problem") throw new Error(`Refused: ${reply.detail}`);
  return { stageMs: reply.stages[0]?.durationMs ?? 0, requestMs };
}

function computePercentiles(timesMs: readonly number[]): OverheadPercentiles {
  return {
    medianMs: computePercentile(timesMs, 50),
    p99Ms: computePercentile(timesMs, 99),
  };
}
