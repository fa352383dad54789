/**
 * Finds jobs that can't meet their deadline given the work queued before them.
 *
 * Load pattern: a burst brings more work than the servers can do before the
 * deadlines. Jobs that would wait and then fail are refused early, so that
 * their clients can retry when there is capacity.
 *
 * @module
 */

import type { ServiceName } from "@sassafrasstage/protocol/ids";
import { compareRanks, type JobRank, rankJob } from "./job_rank.js";
import { servicesOf, type WorkEstimates } from "./work_estimates.js";
import type { StageJob } from "./stage_job.js";

export interface FeasibilityInput {
  readonly jobs: Iterable<StageJob>;
  readonly estimates: WorkEstimates;
  /** Capacity of the service, in concurrent calls of nominal speed. */
  readonly capacityOf: (service: ServiceName) => number;
  readonly nowMs: number;
}

export interface InfeasibleJob {
  readonly job: StageJob;
  readonly reason: "overloaded" | "outOfTime" | "noServer";
  readonly retryAfterMs: number;
}

/** Late work waits longer by this factor, as work on time is preferred. */
const LATE_WAIT_FACTOR = 1.5;
const MIN_RETRY_AFTER_MS = 250;

interface RankedJob extends JobRank {
  readonly job: StageJob;
}

/**
 * Returns the jobs to refuse now, each with the delay until a retry is useful.
 *
 * @example
 * ```ts
 * for (const { job, retryAfterMs } of findInfeasibleJobs(input)) refuse(job);
 * ```
 */
export function findInfeasibleJobs(input: FeasibilityInput): InfeasibleJob[] {
  const queuedMs = new Map<ServiceName, number>();
  const infeasible: InfeasibleJob[] = [];
  for (const ranked of rankJobs(input)) {
    const refusal = findRefusal(input, ranked, queuedMs);
    if (refusal === undefined) addQueuedWork(input, ranked.job, queuedMs);
    else infeasible.push({ job: ranked.job, ...refusal });
  }
  return infeasible;
}

function rankJobs(input: FeasibilityInput): RankedJob[] {
  const { estimates, nowMs } = input;
  return [...input.jobs]
    .map((job) => {
      const pathMs = estimates.remainingPathMs(job);
      return { job, ...rankJob(job, { estimates, pathMs, nowMs }) };
    })
    .sort(compareRanks);
}

function findRefusal(
  input: FeasibilityInput,
  ranked: RankedJob,
  queuedMs: ReadonlyMap<ServiceName, number>,
): Omit<InfeasibleJob, "job"> | undefined {
  const { estimates, nowMs } = input;
  const { job } = ranked;
  const pathMs = estimates.remainingPathMs(job);
  if (nowMs + pathMs > job.deadlineAtMs) {
    return { reason: "outOfTime", retryAfterMs: MIN_RETRY_AFTER_MS };
  }
  let waitMs = 0;
  for (const service of servicesOf(job)) {
    if (estimates.remainingWorkMs(job, service) === 0) continue;
    const capacity = input.capacityOf(service);
    if (capacity <= 0) {
      return { reason: "noServer", retryAfterMs: MIN_RETRY_AFTER_MS };
    }
    waitMs = Math.max(waitMs, (queuedMs.get(service) ?? 0) / capacity);
  }
  if (!ranked.isOnTime) waitMs *= LATE_WAIT_FACTOR;
  if (nowMs + waitMs + pathMs <= job.deadlineAtMs) return undefined;
  return {
    reason: "overloaded",
    retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, waitMs),
  };
}

function addQueuedWork(
  input: FeasibilityInput,
  job: StageJob,
  queuedMs: Map<ServiceName, number>,
): void {
  for (const service of servicesOf(job)) {
    const workMs = input.estimates.remainingWorkMs(job, service);
    queuedMs.set(service, (queuedMs.get(service) ?? 0) + workMs);
  }
}
