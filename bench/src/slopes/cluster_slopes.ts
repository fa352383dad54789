/**
 * Measures the cost of real daemons by their number: platform calls, messages,
 * processor time and memory while idle and under load, and the propagation of
 * a configuration change.
 *
 * @module
 */

import {
  type Cluster,
  startCluster,
} from "@sassafrasstage/stand-ins/cluster/cluster";
import type { ClusterPlan } from "@sassafrasstage/stand-ins/cluster/cluster_plan";
import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { exampleKey } from "../deployments/example_files.js";
import { makeConsorzio } from "../deployments/consorzio.js";
import { isExpectedOutput, makeInput } from "../deployments/expected_answer.js";
import { makeClusterPlan } from "../deployments/make_cluster_plan.js";
import { drawArrivals } from "../load/arrivals.js";
import { runLoad } from "../load/load_run.js";
import {
  computeRates,
  type ControlRates,
  takeSnapshot,
} from "../measure/control_rates.js";
import { type Point } from "./linear_fit.js";
import type { SlopeSeries } from "./slope_series.js";

const VMS_PER_DATA_CENTRE: readonly number[] = [1, 2, 3, 4];
const SETTLE_MS = 3000;
const MEASURED_MS = 5000;
const LOAD_REQUESTS_PER_SECOND = 40;
const CHANGE_POLL_MS = 10;
const CHANGE_TIMEOUT_MS = 10_000;
const MS_PER_CPU_TICK = 10;
const SEED = 1;

/** The measurements of one cluster size. */
interface ClusterMeasurement {
  readonly daemons: number;
  readonly idle: ControlRates;
  readonly loaded: ControlRates;
  /** Mean per daemon, in milliseconds per second. */
  readonly idleProcessorMs: number;
  readonly loadedProcessorMs: number;
  readonly residentMegabytes: number;
  readonly changeMs: number;
  readonly changeBytes: number;
}

/**
 * Measures clusters of three data centres with 1 to 4 entry VMs each.
 *
 * @example
 * ```ts
 * console.log(formatSlopes(await measureClusterSlopes()));
 * ```
 */
export async function measureClusterSlopes(): Promise<SlopeSeries[]> {
  const measurements: ClusterMeasurement[] = [];
  for (const vmsPerDataCentre of VMS_PER_DATA_CENTRE) {
    measurements.push(await measureCluster(vmsPerDataCentre));
  }
  function makeSeries(
    name: string,
    unit: string,
    getValue: (measurement: ClusterMeasurement) => number,
  ): SlopeSeries {
    const points: Point[] = measurements.map((measurement) => ({
      size: measurement.daemons,
      value: getValue(measurement),
    }));
    return { name, unit, sizeName: "daemons", points };
  }
  return [
    makeSeries(
      "platform reads, idle",
      "a second",
      (m) => m.idle.platformReadsPerSecond,
    ),
    makeSeries(
      "platform reads, 40 requests/s",
      "a second",
      (m) => m.loaded.platformReadsPerSecond,
    ),
    makeSeries(
      "platform writes, idle",
      "a second",
      (m) => m.idle.platformWritesPerSecond,
    ),
    makeSeries(
      "platform writes, 40 requests/s",
      "a second",
      (m) => m.loaded.platformWritesPerSecond,
    ),
    makeSeries(
      "sent to peers, idle",
      "bytes/s and daemon",
      (m) => m.idle.peerBytesPerSecond / m.daemons,
    ),
    makeSeries(
      "sent to peers, 40 requests/s",
      "bytes/s and daemon",
      (m) => m.loaded.peerBytesPerSecond / m.daemons,
    ),
    makeSeries(
      "processor time, idle",
      "ms/s and daemon",
      (m) => m.idleProcessorMs,
    ),
    makeSeries(
      "processor time, 40 requests/s",
      "ms/s and daemon",
      (m) => m.loadedProcessorMs,
    ),
    makeSeries("resident memory", "MB a daemon", (m) => m.residentMegabytes),
    makeSeries(
      "change of configuration in force everywhere",
      "ms",
      (m) => m.changeMs,
    ),
    makeSeries(
      "sent to peers for a change",
      "bytes of all",
      (m) => m.changeBytes,
    ),
  ];
}

async function measureCluster(
  vmsPerDataCentre: number,
): Promise<ClusterMeasurement> {
  const cluster = await startCluster(makePlan(vmsPerDataCentre));
  try {
    await sleep(SETTLE_MS);
    const idle = await measureDuring(cluster, () => sleep(MEASURED_MS));
    const loaded = await measureDuring(cluster, () => sendLoad(cluster));
    const change = await measureChange(cluster, idle.rates);
    return {
      daemons: cluster.daemons.length,
      idle: idle.rates,
      loaded: loaded.rates,
      idleProcessorMs: idle.processorMs,
      loadedProcessorMs: loaded.processorMs,
      residentMegabytes: readResidentMegabytes(cluster),
      ...change,
    };
  } finally {
    await cluster.stop();
  }
}

function makePlan(vmsPerDataCentre: number): ClusterPlan {
  const plan = makeClusterPlan(makeConsorzio(), {
    policy: "current",
    seed: SEED,
  });
  return {
    ...plan,
    dataCentres: plan.dataCentres.map((dataCentre) => ({
      ...dataCentre,
      entryVmCount: vmsPerDataCentre,
    })),
  };
}

async function measureDuring(
  cluster: Cluster,
  run: () => Promise<unknown>,
): Promise<{ readonly rates: ControlRates; readonly processorMs: number }> {
  const startedAtMs = performance.now();
  const processorBefore = readProcessorMs(cluster);
  const before = await takeSnapshot(cluster);
  await run();
  const after = await takeSnapshot(cluster);
  const usedMs = readProcessorMs(cluster) - processorBefore;
  const seconds = (performance.now() - startedAtMs) / 1000;
  return {
    rates: computeRates(before, after),
    processorMs: usedMs / seconds / cluster.daemons.length,
  };
}

async function sendLoad(cluster: Cluster): Promise<void> {
  const deployment = makeConsorzio();
  const arrivals = drawArrivals([{
    startMs: 0,
    endMs: MEASURED_MS,
    requestsPerSecond: LOAD_REQUESTS_PER_SECOND,
    pipelines: deployment.pipelineMix,
    clientAccounts: deployment.clientAccountMix,
  }], SEED);
  await runLoad(
    {
      vms: cluster.daemons.map(({ vmId, httpUrl }) => ({
        vmId,
        baseUrl: httpUrl,
      })),
      pipelines: deployment.content.rules.pipelines,
      keyOf: exampleKey,
      inputOf: makeInput,
      isExpectedOutput,
    },
    arrivals,
    { seed: SEED },
  );
}

/**
 * Measures the time until a configuration change is in force at every daemon,
 * and the bytes that the daemons send to their peers for it. The bytes that an
 * idle cluster sends in the same time are subtracted.
 */
async function measureChange(
  cluster: Cluster,
  idle: ControlRates,
): Promise<{ readonly changeMs: number; readonly changeBytes: number }> {
  const { register, rules } = cluster.configuration;
  const before = await takeSnapshot(cluster);
  const generation = await fetchLowestGeneration(cluster);
  const startedAtMs = performance.now();
  const answer = await cluster.submitConfiguration(
    {
      register,
      rules: { ...rules, backendServersOut: [register.backendServers[0]?.id] },
    } as typeof cluster.configuration,
  );
  if (answer.status >= 300) throw new Error(JSON.stringify(answer.body));
  while (await fetchLowestGeneration(cluster) <= generation) {
    if (performance.now() - startedAtMs > CHANGE_TIMEOUT_MS) break;
    await sleep(CHANGE_POLL_MS);
  }
  const changeMs = performance.now() - startedAtMs;
  await sleep(SETTLE_MS);
  const rates = computeRates(before, await takeSnapshot(cluster));
  const seconds = (performance.now() - startedAtMs) / 1000;
  const changeBytes = (rates.peerBytesPerSecond - idle.peerBytesPerSecond) *
    seconds;
  return { changeMs, changeBytes };
}

async function fetchLowestGeneration(cluster: Cluster): Promise<number> {
  const generations = await Promise.all(cluster.daemons.map(async (daemon) => {
    const { body } = await daemon.admin("/admin/v1/status");
    return (body as { readonly generation: number }).generation;
  }));
  return Math.min(...generations);
}

function readProcessorMs(cluster: Cluster): number {
  return cluster.daemons.reduce((sum, { processId }) => {
    const text = readFileSync(`/proc/${processId}/stat`, "utf8");
    const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[11]) + Number(fields[12]);
    return sum + ticks * MS_PER_CPU_TICK;
  }, 0);
}

function readResidentMegabytes(cluster: Cluster): number {
  const kilobytes = cluster.daemons.map(({ processId }) => {
    const text = readFileSync(`/proc/${processId}/status`, "utf8");
    return Number(/VmRSS:\s+(?<kb>\d+)/.exec(text)?.groups?.["kb"]);
  });
  const total = kilobytes.reduce((sum, value) => sum + value, 0);
  return total / kilobytes.length / 1024;
}
