/**
 * A load under random faults, and the checks of everything that must always
 * hold.
 *
 * @module
 */

import {
  type Cluster,
  startCluster,
} from "@sassafrasstage/stand-ins/cluster/cluster";
import { SeededRandom } from "@sassafrasstage/stand-ins/random/seeded_random";
import { setTimeout as sleep } from "node:timers/promises";
import { GenerationWatch } from "../support/generation_watch.js";
import { Load } from "../support/load.js";
import { summarize } from "../support/request_log.js";
import { COLD_SERVICES, makeSamplePlan } from "../support/sample_plan.js";
import { readRecords } from "../support/verdicts.js";
import { checkEverything, checkHealed } from "./checks.js";
import { freezeDaemon, killDaemon, shutDownDaemon } from "./daemon_faults.js";
import type { ActiveFault, FaultContext, FaultKind } from "./fault.js";
import {
  cutDataCentres,
  cutFromPlatform,
  disturbLink,
  slowPlatform,
  takePlatformDown,
  trimHistory,
} from "./network_faults.js";
import { disturbServer, takeOut, turnServerCold } from "./server_faults.js";

export interface RandomFaultsOptions {
  readonly seed: number;
  readonly durationMs: number;
  /** Told of each fault's start and end. */
  readonly onFault?: (description: string) => void;
}

export interface RandomFaultsReport {
  readonly violations: readonly string[];
  readonly faults: readonly string[];
  readonly requestCount: number;
  /** How requests ended. */
  readonly summary: string;
}

const KINDS: readonly FaultKind[] = [
  killDaemon,
  shutDownDaemon,
  freezeDaemon,
  cutDataCentres,
  cutFromPlatform,
  takePlatformDown,
  slowPlatform,
  trimHistory,
  disturbLink,
  disturbLink,
  turnServerCold,
  turnServerCold,
  disturbServer,
  disturbServer,
  disturbServer,
  takeOut,
];

const PLAN = makeSamplePlan({
  services: COLD_SERVICES,
  maxDeadlineMs: 4000,
});

/**
 * Runs a cluster under faults drawn from the seed.
 *
 * @example
 * ```ts
 * const report = await runRandomFaults({ seed: 7, durationMs: 60_000 });
 * ```
 */
export async function runRandomFaults(
  options: RandomFaultsOptions,
): Promise<RandomFaultsReport> {
  const cluster = await startCluster(PLAN);
  const watch = new GenerationWatch(cluster);
  try {
    return await runOn(cluster, watch, options);
  } finally {
    await watch.stop();
    await cluster.stop();
  }
}

async function runOn(
  cluster: Cluster,
  watch: GenerationWatch,
  options: RandomFaultsOptions,
): Promise<RandomFaultsReport> {
  const context: FaultContext = {
    cluster,
    random: new SeededRandom(options.seed),
    history: { kills: [], outs: [], isolations: [], badExits: [] },
    disturbed: new Set(),
    cuts: new Set(),
  };
  const load = new Load(cluster, {
    seed: options.seed,
    requestsPerSecond: 60,
    pipelines: ["lookup", "draft", "story", "issue", "issue"],
    streamRatio: 0.4,
    keyRatio: 0.4,
    doubledRatio: 0.5,
  });
  watch.start();
  load.start();
  const faults = await injectFaults(context, options);
  const unhealed = await checkHealed(cluster);
  const requests = await load.stop();
  const violations = checkEverything({
    requests,
    records: await readRecords(cluster),
    history: context.history,
    reversions: await watch.stop(),
  });
  return {
    violations: [...violations, ...unhealed],
    faults,
    requestCount: requests.length,
    summary: summarize(requests),
  };
}

/** Brings faults about until the time is over, and ends them all. */
async function injectFaults(
  context: FaultContext,
  options: RandomFaultsOptions,
): Promise<readonly string[]> {
  const endAtMs = performance.now() + options.durationMs;
  const endings = new Set<Promise<void>>();
  const faults: string[] = [];
  while (performance.now() < endAtMs) {
    await sleep(context.random.nextInt(100, 700));
    const fault = await context.random.pick(KINDS)(context);
    if (fault === undefined) continue;
    faults.push(fault.description);
    options.onFault?.(fault.description);
    const ending = endLater(fault, options.onFault);
    endings.add(ending);
    void ending.finally(() => endings.delete(ending)).catch(() => undefined);
  }
  await Promise.all(endings);
  return faults;
}

async function endLater(
  fault: ActiveFault,
  onFault: RandomFaultsOptions["onFault"],
): Promise<void> {
  await sleep(fault.durationMs);
  await fault.end();
  onFault?.(`end of: ${fault.description}`);
}
