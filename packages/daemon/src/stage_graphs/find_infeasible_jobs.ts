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
import type { CallerCostQueue } from "./caller_cost_queue.js";
import { compareRanks, type JobRank, rankJob } from "./job_rank.js";
import type { WorkEstimates } from "./work_estimates.js";
import type { StageJob } from "./stage_job.js";

export interface FeasibilityInput {
  readonly jobs: Iterable<StageJob>;
  readonly estimates: WorkEstimates;
  /** Capacity of the service, in concurrent calls of nominal speed. */
  readonly capacityOf: (service: ServiceName) => number;
  readonly nowMs: number;
  /** Set with the policy `callerCost`. */
  readonly callerCost?: CallerCostQueue | undefined;
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
  readonly pathMs: number;
}

/** Work of one service that is queued before the job in question. */
interface ServiceQueue {
  readonly capacity: number;
  queuedMs: number;
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
  const queues = new Map<ServiceName, ServiceQueue>();
  const infeasible: InfeasibleJob[] = [];
  for (const ranked of rankJobs(input)) {
    const refusal = findRefusal(input, ranked, queues);
    if (refusal === undefined) addQueuedWork(input, ranked.job, queues);
    else infeasible.push({ job: ranked.job, ...refusal });
  }
  return infeasible;
}

function rankJobs(input: FeasibilityInput): RankedJob[] {
  const { estimates, nowMs } = input;
  return [...input.jobs]
    .map((job) => {
      const pathMs = estimates.remainingPathMs(job);
      const rank = rankJob(job, {
        estimates,
        pathMs,
        nowMs,
        callerCost: input.callerCost,
        decision: "refusal",
        turnMs: pathMs,
      });
      return { job, pathMs, ...rank };
    })
    .sort(compareRanks);
}

function findRefusal(
  input: FeasibilityInput,
  ranked: RankedJob,
  queues: Map<ServiceName, ServiceQueue>,
): Omit<InfeasibleJob, "job"> | undefined {
  const { estimates, nowMs } = input;
  const { job, pathMs } = ranked;
  if (nowMs + pathMs > job.deadlineAtMs) {
    return { reason: "outOfTime", retryAfterMs: MIN_RETRY_AFTER_MS };
  }
  let waitMs = 0;
  let longest: ServiceName | undefined;
  for (const [position, { service }] of job.graph.stages.entries()) {
    if (estimates.remainingStageWorkMs(job, position) === 0) continue;
    const { capacity, queuedMs } = queueOf(input, service, queues);
    if (capacity <= 0) {
      return { reason: "noServer", retryAfterMs: MIN_RETRY_AFTER_MS };
    }
    if (longest === undefined || queuedMs / capacity > waitMs) {
      longest = service;
      waitMs = queuedMs / capacity;
    }
  }
  if (!ranked.isOnTime) waitMs *= LATE_WAIT_FACTOR;
  if (nowMs + waitMs + pathMs <= job.deadlineAtMs) return undefined;
  return {
    reason: "overloaded",
    retryAfterMs: findRetryAfterMs(input, job, { waitMs, service: longest }),
  };
}

function findRetryAfterMs(
  input: FeasibilityInput,
  job: StageJob,
  { waitMs, service }: {
    readonly waitMs: number;
    readonly service: ServiceName | undefined;
  },
): number {
  const { callerCost, estimates, nowMs } = input;
  const earliestMs = Math.max(MIN_RETRY_AFTER_MS, waitMs);
  if (callerCost === undefined || service === undefined) return earliestMs;
  // The scheduler doesn't refuse a job while a call may still bring its result.
  if (job.isRunning) return earliestMs;
  return callerCost.retryAfterMs(job, {
    service,
    waitMs: earliestMs,
    workMs: estimates.serviceWorkMs(job, service),
    capacity: input.capacityOf(service),
    nowMs,
  });
}

function addQueuedWork(
  input: FeasibilityInput,
  job: StageJob,
  queues: Map<ServiceName, ServiceQueue>,
): void {
  for (const [position, { service }] of job.graph.stages.entries()) {
    const workMs = input.estimates.remainingStageWorkMs(job, position);
    if (workMs > 0) queueOf(input, service, queues).queuedMs += workMs;
  }
}

function queueOf(
  input: FeasibilityInput,
  service: ServiceName,
  queues: Map<ServiceName, ServiceQueue>,
): ServiceQueue {
  let queue = queues.get(service);
  if (queue === undefined) {
    queue = { capacity: input.capacityOf(service), queuedMs: 0 };
    queues.set(service, queue);
  }
  return queue;
}
