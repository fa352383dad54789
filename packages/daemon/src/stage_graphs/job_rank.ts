/**
 * Ranks jobs for server time. Refusals and batches use the same order.
 *
 * Load pattern: a burst exceeds the capacity. Jobs that can be on time rank
 * before late ones, then by worth per millisecond of server time. Waiting
 * raises the rank, so that no kind of request starves.
 *
 * @module
 */

import type { CallerCostQueue } from "./caller_cost_queue.js";
import type { StageJob } from "./stage_job.js";
import type { WorkEstimates } from "./work_estimates.js";

export interface JobRank {
  readonly isOnTime: boolean;
  /** Worth per millisecond of server time, raised by waiting. */
  readonly worthRate: number;
  /** Set with the policy `callerCost`; decides alone then. */
  readonly cost?: number;
}

export interface RankInput {
  readonly estimates: WorkEstimates;
  /** Expected time until the job's stages are done, without queueing. */
  readonly pathMs: number;
  readonly nowMs: number;
  /** Set with the policy `callerCost`. */
  readonly callerCost?: CallerCostQueue | undefined;
  /** What the job is ranked for, and the usual time between two calls. */
  readonly decision: "delay" | "refusal";
  readonly turnMs: number;
}

/**
 * Returns the current rank of the job.
 *
 * @example
 * ```ts
 * const rank = rankJob(job, {
 *   estimates, pathMs: 500, nowMs, decision: "delay", turnMs: 250,
 * });
 * ```
 */
export function rankJob(job: StageJob, input: RankInput): JobRank {
  const { estimates, pathMs, nowMs } = input;
  const waitToObjectiveRatio = (nowMs - job.acceptedAtMs) /
    Math.max(1, job.graph.objectiveInMs);
  return {
    isOnTime: nowMs + pathMs <= job.objectiveAtMs,
    worthRate: estimates.worthPerMs(job) * (1 + waitToObjectiveRatio),
    ...(input.callerCost === undefined
      ? {}
      : { cost: input.callerCost.costOf(job, input)[input.decision] }),
  };
}

/** Comparison function that sorts the highest rank first. */
export function compareRanks(a: JobRank, b: JobRank): number {
  if (a.cost !== undefined && b.cost !== undefined) return b.cost - a.cost;
  if (a.isOnTime !== b.isOnTime) return a.isOnTime ? -1 : 1;
  return b.worthRate - a.worthRate;
}
