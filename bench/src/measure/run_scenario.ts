/**
 * Runs one scenario against real processes and collects the measurements.
 *
 * @module
 */

import {
  type Cluster,
  startCluster,
} from "@sassafrasstage/stand-ins/cluster/cluster";
import { loadavg } from "node:os";
import { setTimeout as sleep } from "node:timers/promises";
import type { Deployment } from "../deployments/deployment.js";
import { exampleKey } from "../deployments/example_files.js";
import { isExpectedOutput, makeInput } from "../deployments/expected_answer.js";
import {
  type ClusterPlanOptions,
  makeClusterPlan,
} from "../deployments/make_cluster_plan.js";
import { drawArrivals } from "../load/arrivals.js";
import type { LoadRecord } from "../load/load_record.js";
import { type LoadTarget, runLoad } from "../load/load_run.js";
import { type LoadSummary, summarize } from "../load/summary.js";
import {
  makeArrivalStreams,
  type Scenario,
  type ScenarioName,
  type ScenarioTimes,
} from "../scenarios/scenario.js";
import {
  BRING_BACK_AT_FRACTION,
  TAKE_OUT_AT_FRACTION,
} from "../scenarios/scenarios.js";
import {
  computeRates,
  type ControlRates,
  takeSnapshot,
} from "./control_rates.js";
import {
  countCallsInWindow,
  countInvariantViolations,
  type InvariantCounts,
  type ServerRecord,
} from "./invariants.js";

/** Time after which a data centre taken out must receive no new calls. */
const TAKE_OUT_GRACE_MS = 3000;

export interface ScenarioRunOptions extends ClusterPlanOptions, ScenarioTimes {}

export interface ScenarioResult {
  readonly scenario: ScenarioName;
  readonly deployment: string;
  readonly policy: string;
  readonly loadPart: number;
  readonly requestsPerSecond: number;
  readonly summary: LoadSummary;
  readonly control: ControlRates;
  readonly invariants: InvariantCounts;
  /** Calls to the data centre later than 3 s after it was taken out. */
  readonly callsWhileOut?: number;
  /** The longest delay of the load generator in sending a request. */
  readonly maxSendDelayMs: number;
  /** The machine's load average over the last minute of the run. */
  readonly loadAverage: number;
}

/**
 * Starts the deployment, warms it up, runs the scenario and stops everything.
 *
 * @example
 * ```ts
 * const result = await runScenario(scenario, deployment, options);
 * ```
 */
export async function runScenario(
  scenario: Scenario,
  deployment: Deployment,
  options: ScenarioRunOptions,
): Promise<ScenarioResult> {
  const cluster = await startCluster(makeClusterPlan(deployment, options));
  try {
    return await measureScenario({ cluster, scenario, deployment, options });
  } finally {
    await cluster.stop();
  }
}

interface RunContext {
  readonly cluster: Cluster;
  readonly scenario: Scenario;
  readonly deployment: Deployment;
  readonly options: ScenarioRunOptions;
}

async function measureScenario(context: RunContext): Promise<ScenarioResult> {
  const { cluster, scenario, deployment, options } = context;
  const { warmUpMs, measuredMs, seed } = options;
  const streams = makeArrivalStreams(scenario, deployment, options);
  const arrivals = drawArrivals(streams, seed);
  const startedAtMs = Date.now();
  const control = measureControlRates(cluster, options);
  const [records] = await Promise.all([
    runLoad(makeLoadTarget(context), arrivals, { seed }),
    runEvents(context),
  ]);
  const measured = records.filter((record) => record.atMs >= warmUpMs);
  const servers = await readServers(cluster);
  return {
    scenario: scenario.name,
    deployment: deployment.name,
    policy: options.policy,
    loadPart: scenario.loadFraction,
    requestsPerSecond: measured.length * 1000 / measuredMs,
    summary: summarize(measured, measuredMs),
    control: await control,
    invariants: countInvariantViolations(records, servers),
    ...countCallsWhileOut(context, { servers, startedAtMs }),
    maxSendDelayMs: findMaxSendDelay(records),
    loadAverage: loadavg()[0] ?? 0,
  };
}

function makeLoadTarget({ cluster, deployment }: RunContext): LoadTarget {
  return {
    vms: cluster.daemons.map(({ vmId, httpUrl }) => ({
      vmId,
      baseUrl: httpUrl,
    })),
    pipelines: deployment.content.rules.pipelines,
    keyOf: exampleKey,
    inputOf: makeInput,
    isExpectedOutput,
  };
}

async function runEvents(context: RunContext): Promise<void> {
  const { cluster, scenario, deployment, options } = context;
  await Promise.all(scenario.events.map(async (event) => {
    await sleep(options.warmUpMs + event.atFraction * options.measuredMs);
    await event.run(cluster, deployment);
  }));
}

async function measureControlRates(
  cluster: Cluster,
  times: ScenarioTimes,
): Promise<ControlRates> {
  await sleep(times.warmUpMs);
  const before = await takeSnapshot(cluster);
  await sleep(times.measuredMs);
  return computeRates(before, await takeSnapshot(cluster));
}

async function readServers(cluster: Cluster): Promise<ServerRecord[]> {
  return Promise.all(cluster.servers.map(async (server) => {
    const { id, service, dataCentre } = server;
    return { ...await server.record(), id, service, dataCentre };
  }));
}

function countCallsWhileOut(
  { scenario, deployment, options }: RunContext,
  observed: {
    readonly servers: readonly ServerRecord[];
    readonly startedAtMs: number;
  },
): { readonly callsWhileOut?: number } {
  if (scenario.name !== "data-centre-leaves-and-returns") return {};
  const measuredFromMs = observed.startedAtMs + options.warmUpMs;
  const callsWhileOut = countCallsInWindow(observed.servers, {
    dataCentre: deployment.dataCentreTakenOut,
    fromMs: measuredFromMs + TAKE_OUT_AT_FRACTION * options.measuredMs +
      TAKE_OUT_GRACE_MS,
    toMs: measuredFromMs + BRING_BACK_AT_FRACTION * options.measuredMs,
  });
  return { callsWhileOut };
}

function findMaxSendDelay(records: readonly LoadRecord[]): number {
  return records.reduce(
    (max, record) => Math.max(max, record.sendDelayMs),
    0,
  );
}
