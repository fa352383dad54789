/**
 * The order in which jobs get the servers' time. What is refused and what goes
 * into the next call follow the same order.
 *
 * Load pattern: a burst asks for more than there is. What can be on time goes
 * before what is late, then what is worth most for each millisecond of server
 * time; waiting raises the rank, so that no kind of request starves.
 *
 * @module
 */

import type { StageJob } from "./stage_job.js";
import type { WorkEstimates } from "./work_estimates.js";

export interface JobRank {
  readonly isOnTime: boolean;
  /** Worth for each millisecond of server time, raised by waiting. */
  readonly worthRate: number;
}

export interface RankInput {
  readonly estimates: WorkEstimates;
  /** Likely time until the job's stages are done, without waiting. */
  readonly pathMs: number;
  readonly nowMs: number;
}

/**
 * The job's rank at this moment.
 *
 * @example
 * ```ts
 * const rank = rankJob(job, { estimates, pathMs: 500, nowMs });
 * ```
 */
export function rankJob(job: StageJob, input: RankInput): JobRank {
  const { estimates, pathMs, nowMs } = input;
  const waitedObjectives = (nowMs - job.acceptedAtMs) /
    Math.max(1, job.graph.objectiveInMs);
  return {
    isOnTime: nowMs + pathMs <= job.lateAtMs,
    worthRate: estimates.worthPerMs(job) * (1 + waitedObjectives),
  };
}

/** Orders what goes first to the front. */
export function compareRanks(a: JobRank, b: JobRank): number {
  if (a.isOnTime !== b.isOnTime) return a.isOnTime ? -1 : 1;
  return b.worthRate - a.worthRate;
}
