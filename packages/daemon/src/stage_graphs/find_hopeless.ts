/**
 * Finds jobs that can't be done in time behind the work ahead of them.
 *
 * Load pattern: a burst leaves more work than the servers do before the
 * deadlines. What would only wait and then fail is refused early, so that its
 * client can come back when there is room.
 *
 * @module
 */

import type { ServiceName } from "@sassafrasstage/protocol/ids";
import { compareRanks, type JobRank, rankJob } from "./job_rank.js";
import { servicesOf, type WorkEstimates } from "./work_estimates.js";
import type { StageJob } from "./stage_job.js";

export interface HopelessInput {
  readonly jobs: Iterable<StageJob>;
  readonly estimates: WorkEstimates;
  /** Servers of nominal speed that the service's servers amount to. */
  readonly capacityOf: (service: ServiceName) => number;
  readonly nowMs: number;
}

export interface HopelessJob {
  readonly job: StageJob;
  readonly reason: "overloaded" | "outOfTime" | "noServer";
  readonly retryAfterMs: number;
}

/** New work on time passes late work by, which waits this much longer. */
const LATE_WAIT_FACTOR = 1.5;
const SHORTEST_RETRY_AFTER_MS = 250;

interface RankedJob extends JobRank {
  readonly job: StageJob;
}

/**
 * The jobs to refuse now, each with the time after which there will be room.
 *
 * @example
 * ```ts
 * for (const { job, retryAfterMs } of findHopeless(input)) refuse(job);
 * ```
 */
export function findHopeless(input: HopelessInput): HopelessJob[] {
  const queuedMs = new Map<ServiceName, number>();
  const hopeless: HopelessJob[] = [];
  for (const ranked of rankJobs(input)) {
    const fault = findFault(input, ranked, queuedMs);
    if (fault === undefined) addWork(input, ranked.job, queuedMs);
    else hopeless.push({ job: ranked.job, ...fault });
  }
  return hopeless;
}

function rankJobs(input: HopelessInput): RankedJob[] {
  const { estimates, nowMs } = input;
  return [...input.jobs]
    .map((job) => {
      const pathMs = estimates.remainingPathMs(job);
      return { job, ...rankJob(job, { estimates, pathMs, nowMs }) };
    })
    .sort(compareRanks);
}

function findFault(
  input: HopelessInput,
  ranked: RankedJob,
  queuedMs: ReadonlyMap<ServiceName, number>,
): Omit<HopelessJob, "job"> | undefined {
  const { estimates, nowMs } = input;
  const { job } = ranked;
  const pathMs = estimates.remainingPathMs(job);
  if (nowMs + pathMs > job.deadlineAtMs) {
    return { reason: "outOfTime", retryAfterMs: SHORTEST_RETRY_AFTER_MS };
  }
  let waitMs = 0;
  for (const service of servicesOf(job)) {
    if (estimates.remainingWorkMs(job, service) === 0) continue;
    const capacity = input.capacityOf(service);
    if (capacity <= 0) {
      return { reason: "noServer", retryAfterMs: SHORTEST_RETRY_AFTER_MS };
    }
    waitMs = Math.max(waitMs, (queuedMs.get(service) ?? 0) / capacity);
  }
  if (!ranked.isOnTime) waitMs *= LATE_WAIT_FACTOR;
  if (nowMs + waitMs + pathMs <= job.deadlineAtMs) return undefined;
  return {
    reason: "overloaded",
    retryAfterMs: Math.max(SHORTEST_RETRY_AFTER_MS, waitMs),
  };
}

function addWork(
  input: HopelessInput,
  job: StageJob,
  queuedMs: Map<ServiceName, number>,
): void {
  for (const service of servicesOf(job)) {
    const workMs = input.estimates.remainingWorkMs(job, service);
    queuedMs.set(service, (queuedMs.get(service) ?? 0) + workMs);
  }
}
