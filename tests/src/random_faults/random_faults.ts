/**
 * Runs a load under random faults and checks the invariants of the system.
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
import { LoadGenerator } from "../support/load_generator.js";
import { summarize } from "../support/request_log.js";
import { COLD_SERVICES, makeSamplePlan } from "../support/sample_plan.js";
import { readRecords } from "../support/find_violations.js";
import { findRecoveryViolations, findRunViolations } from "./checks.js";
import { freezeDaemon, killDaemon, shutDownDaemon } from "./daemon_faults.js";
import type { ActiveFault, FaultContext, FaultInjector } from "./fault.js";
import { type TimedLine, traceOverloads } from "./overload_trace.js";
import {
  disconnectFromPlatform,
  injectLinkFault,
  partitionDataCentres,
  slowPlatform,
  takePlatformDown,
  trimHistory,
} from "./network_faults.js";
import {
  injectServerFault,
  takeOutOfService,
  turnServerCold,
} from "./server_faults.js";

export interface RandomFaultsOptions {
  readonly seed: number;
  readonly durationMs: number;
  /** Called at the start and the end of each fault. */
  readonly onFault?: (description: string) => void;
}

export interface RandomFaultsReport {
  readonly violations: readonly string[];
  /** One for each overload of a cold server. */
  readonly overloadTraces: readonly string[];
  readonly faults: readonly string[];
  readonly requestCount: number;
  /** Number of requests by outcome. */
  readonly summary: string;
}

/** Each entry is equally likely; a repeated entry is drawn more often. */
const FAULT_INJECTORS: readonly FaultInjector[] = [
  killDaemon,
  shutDownDaemon,
  freezeDaemon,
  partitionDataCentres,
  disconnectFromPlatform,
  takePlatformDown,
  slowPlatform,
  trimHistory,
  injectLinkFault,
  injectLinkFault,
  turnServerCold,
  turnServerCold,
  injectServerFault,
  injectServerFault,
  injectServerFault,
  takeOutOfService,
];

const PLAN = makeSamplePlan({
  services: COLD_SERVICES,
  maxDeadlineMs: 4000,
  settings: { log: { level: "debug" } },
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
    return await runWithCluster(cluster, watch, options);
  } finally {
    await watch.stop();
    await cluster.stop();
  }
}

async function runWithCluster(
  cluster: Cluster,
  watch: GenerationWatch,
  options: RandomFaultsOptions,
): Promise<RandomFaultsReport> {
  const context: FaultContext = {
    cluster,
    random: new SeededRandom(options.seed),
    history: {
      kills: [],
      outOfServiceIntervals: [],
      isolations: [],
      failedShutdowns: [],
    },
    faultyDaemons: new Set(),
    connectivityFaults: new Set(),
  };
  const load = new LoadGenerator(cluster, {
    seed: options.seed,
    requestsPerSecond: 60,
    pipelines: ["lookup", "draft", "story", "issue", "issue"],
    streamRatio: 0.4,
    idempotencyKeyRatio: 0.4,
    duplicateRatio: 0.5,
  });
  watch.start();
  load.start();
  const timedFaults: TimedLine[] = [];
  const faults = await injectFaults(context, {
    ...options,
    onFault: (description) => {
      timedFaults.push({ atMs: Date.now(), text: `fault: ${description}` });
      options.onFault?.(description);
    },
  });
  const recoveryViolations = await findRecoveryViolations(cluster);
  const requests = await load.stop();
  const records = await readRecords(cluster);
  const violations = findRunViolations({
    requests,
    records,
    history: context.history,
    rollbacks: await watch.stop(),
  });
  return {
    violations: [...violations, ...recoveryViolations],
    overloadTraces: traceOverloads(records, {
      logs: cluster.daemons.map((daemon) => ({
        vmId: daemon.vmId,
        text: daemon.readLog(),
      })),
      faults: timedFaults,
    }),
    faults,
    requestCount: requests.length,
    summary: summarize(requests),
  };
}

/** Injects faults for the duration and waits until all of them have ended. */
async function injectFaults(
  context: FaultContext,
  options: RandomFaultsOptions,
): Promise<readonly string[]> {
  const endAtMs = performance.now() + options.durationMs;
  const pendingEnds = new Set<Promise<void>>();
  const faults: string[] = [];
  while (performance.now() < endAtMs) {
    await sleep(context.random.nextInt(100, 700));
    const fault = await context.random.pick(FAULT_INJECTORS)(context);
    if (fault === undefined) continue;
    faults.push(fault.description);
    options.onFault?.(fault.description);
    const pendingEnd = endAfterDuration(fault, options.onFault);
    pendingEnds.add(pendingEnd);
    void pendingEnd.finally(() => pendingEnds.delete(pendingEnd)).catch(() =>
      undefined
    );
  }
  await Promise.all(pendingEnds);
  return faults;
}

async function endAfterDuration(
  fault: ActiveFault,
  onFault: RandomFaultsOptions["onFault"],
): Promise<void> {
  await sleep(fault.durationMs);
  await fault.end();
  onFault?.(`end of: ${fault.description}`);
}
