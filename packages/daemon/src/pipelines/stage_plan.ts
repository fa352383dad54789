/**
 * Plans the latest start of a stage that leaves time for the stages after it.
 *
 * @module
 */

import type { Pipeline, Stage } from "@sassafrasstage/protocol/rules";
import type { StageEstimates } from "./stage_estimates.js";

export interface StagePlan {
  readonly latestStartAtMs: number;
  readonly likelyDurationMs: number;
}

export interface StagePlanRequest {
  readonly pipeline: Pipeline;
  readonly stage: Stage;
  readonly deadlineAtMs: number;
  readonly estimates: StageEstimates;
}

/**
 * Reserves the estimated durations of the stage and of all stages after it.
 *
 * @example
 * ```ts
 * const plan = planStage({ pipeline, stage, deadlineAtMs, estimates }, nowMs);
 * if (plan.latestStartAtMs < nowMs) refuse();
 * ```
 */
export function planStage(request: StagePlanRequest, nowMs: number): StagePlan {
  const { pipeline, stage, estimates } = request;
  const firstIndex = pipeline.stages.indexOf(stage);
  let reservedMs = 0;
  for (const remainingStage of pipeline.stages.slice(firstIndex)) {
    reservedMs += estimates.likelyMs(
      { pipeline: pipeline.name, stage: remainingStage.name },
      nowMs,
    );
  }
  return {
    latestStartAtMs: request.deadlineAtMs - reservedMs,
    likelyDurationMs: estimates.likelyMs(
      { pipeline: pipeline.name, stage: stage.name },
      nowMs,
    ),
  };
}
