/**
 * Measures the time that the system adds to a stage: a stand-in is called
 * straight and through a pipeline of one stage, in turns.
 *
 * @module
 */

import { startCluster } from "@sassafrasstage/stand-ins/cluster/cluster";
import type { Cluster } from "@sassafrasstage/stand-ins/cluster/cluster";
import type { ClusterPlan } from "@sassafrasstage/stand-ins/cluster/cluster_plan";
import { Agent, type Dispatcher, request } from "undici";
import { callPipeline } from "../load/pipeline_call.js";
import { findPercentile } from "../load/summary.js";

const KEY = "overhead-key";
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
  clientAccounts: [{ id: "caller", key: KEY }],
  settings: { log: { level: "warn" } },
};

/** Percentiles in milliseconds. */
export interface OverheadTimes {
  readonly medianMs: number;
  readonly p99Ms: number;
}

export interface StageOverhead {
  readonly calls: number;
  /** The stand-in called straight. */
  readonly straight: OverheadTimes;
  /** The stage as the answer reports it. */
  readonly stage: OverheadTimes;
  /** The whole request as its caller sees it. */
  readonly request: OverheadTimes;
  /** What the stage takes above the straight call. */
  readonly added: OverheadTimes;
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
    await measureTurns({ cluster, dispatcher, calls: WARM_UP_CALLS });
    return await measureTurns({ cluster, dispatcher, calls });
  } finally {
    await dispatcher.close();
    await cluster.stop();
  }
}

interface Turns {
  readonly cluster: Cluster;
  readonly dispatcher: Dispatcher;
  readonly calls: number;
}

async function measureTurns(turns: Turns): Promise<StageOverhead> {
  const { cluster, calls } = turns;
  const straightMs: number[] = [];
  const stageMs: number[] = [];
  const requestMs: number[] = [];
  for (let call = 0; call < calls; call += 1) {
    const server = cluster.servers[call % cluster.servers.length];
    const daemon = cluster.daemons[call % cluster.daemons.length];
    if (server === undefined || daemon === undefined) break;
    straightMs.push(await callStraight(turns, server.url));
    const seen = await callThrough(turns, daemon.httpUrl);
    stageMs.push(seen.stageMs);
    requestMs.push(seen.requestMs);
  }
  const straight = toTimes(straightMs);
  const stage = toTimes(stageMs);
  return {
    calls,
    straight,
    stage,
    request: toTimes(requestMs),
    added: {
      medianMs: stage.medianMs - straight.medianMs,
      p99Ms: stage.p99Ms - straight.p99Ms,
    },
  };
}

async function callStraight(turns: Turns, url: string): Promise<number> {
  const startedAtMs = performance.now();
  const answer = await request(`${url}/v1/${OPERATION}`, {
    dispatcher: turns.dispatcher,
    method: "POST",
    headers: { "content-type": "application/json", "x-request-id": "straight" },
    body: JSON.stringify({ input: { input: INPUT } }),
    signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
  });
  await answer.body.json();
  return performance.now() - startedAtMs;
}

async function callThrough(
  turns: Turns,
  baseUrl: string,
): Promise<{ readonly stageMs: number; readonly requestMs: number }> {
  const startedAtMs = performance.now();
  const reply = await callPipeline(
    { baseUrl, pipeline: "encode", key: KEY, input: INPUT },
    {
      dispatcher: turns.dispatcher,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    },
  );
  const requestMs = performance.now() - startedAtMs;
  if (reply.kind === "problem") throw new Error(`Refused: ${reply.detail}`);
  return { stageMs: reply.stages[0]?.durationMs ?? 0, requestMs };
}

function toTimes(timesMs: readonly number[]): OverheadTimes {
  return {
    medianMs: findPercentile(timesMs, 50),
    p99Ms: findPercentile(timesMs, 99),
  };
}
