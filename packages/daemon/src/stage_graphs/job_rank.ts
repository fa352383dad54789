/**
 * Ranks jobs for server time. Refusals and batches use the same order.
 *
 * Load pattern: a burst exceeds the capacity. Jobs that can be on time rank
 * before late ones, then by worth per millisecond of server time. Waiting
 * raises the rank, so that no kind of request starves.
 *
 * @module
 */

import type { StageJob } from "./stage_job.js";
import type { WorkEstimates } from "./work_estimates.js";

export interface JobRank {
  readonly isOnTime: boolean;
  /** Worth per millisecond of server time, raised by waiting. */
  readonly worthRate: number;
}

export interface RankInput {
  readonly estimates: WorkEstimates;
  /** Expected time until the job's stages are done, without queueing. */
  readonly pathMs: number;
  readonly nowMs: number;
}

/**
 * Returns the current rank of the job.
 *
 * @example
 * ```ts
 * const rank = rankJob(job, { estimates, pathMs: 500, nowMs });
 * ```
 */
export function rankJob(job: StageJob, input: RankInput): JobRank {
  const { estimates, pathMs, nowMs } = input;
  const waitToObjectiveRatio = (nowMs - job.acceptedAtMs) /
    Math.max(1, job.graph.objectiveInMs);
  return {
    isOnTime: nowMs + pathMs <= job.objectiveAtMs,
    worthRate: estimates.worthPerMs(job) * (1 + waitToObjectiveRatio),
  };
}

/** Comparison function that sorts the highest rank first. */
export function compareRanks(a: JobRank, b: JobRank): number {
  if (a.isOnTime !== b.isOnTime) return a.isOnTime ? -1 : 1;
  return b.worthRate - a.worthRate;
}
