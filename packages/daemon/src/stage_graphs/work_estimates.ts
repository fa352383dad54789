/**
 * Estimates of the remaining time and server work of jobs, and of their worth.
 *
 * @module
 */

import type { ServiceName } from "@sassafrasstage/protocol/ids";
import { fullWorth } from "../overload/deferral_cost.js";
import type { BatchLimits } from "../routing/routing_configuration.js";
import { amortizedItemMs } from "./batch_server.js";
import type { StageJob } from "./stage_job.js";

/** Expected fill level of a batch, used until a duration is measured. */
const EXPECTED_BATCH_FILL = 0.5;
/** Weight of the newest call in the moving average of call durations. */
const CALL_DURATION_SMOOTHING = 0.2;

/** Measured and nominal durations of the calls of each service. */
export class WorkEstimates {
  readonly #limitsOf: (service: ServiceName) => BatchLimits | undefined;
  readonly #measuredCallMs = new Map<ServiceName, number>();

  constructor(limitsOf: (service: ServiceName) => BatchLimits | undefined) {
    this.#limitsOf = limitsOf;
  }

  recordCall(service: ServiceName, durationMs: number): void {
    const previousMs = this.expectedCallMs(service);
    this.#measuredCallMs.set(
      service,
      previousMs + (durationMs - previousMs) * CALL_DURATION_SMOOTHING,
    );
  }

  expectedCallMs(service: ServiceName): number {
    const measured = this.#measuredCallMs.get(service);
    if (measured !== undefined) return measured;
    const limits = this.#limitsOf(service);
    if (limits === undefined) return 0;
    return limits.callMs +
      limits.itemMs * limits.maxItems * EXPECTED_BATCH_FILL;
  }

  /** Expected time from the end of this stage to the end of the last one. */
  pathAfterMs(job: StageJob, position: number): number {
    if (job.hasManyPaths) {
      const pathsMs = this.#pathsMs(job, position + 1);
      return longestPathMs(pathsMs, job.followersOf(position));
    }
    let longestMs = 0;
    for (const follower of job.followersOf(position)) {
      longestMs = Math.max(longestMs, this.pathFromMs(job, follower));
    }
    return longestMs;
  }

  /** Expected time from the start of this stage to the end of the last one. */
  pathFromMs(job: StageJob, position: number): number {
    const ownMs = job.isStageDone(position)
      ? 0
      : this.expectedCallMs(job.stage(position).service);
    return ownMs + this.pathAfterMs(job, position);
  }

  /** Expected time until all stages are done, without queueing. */
  remainingPathMs(job: StageJob): number {
    if (job.hasManyPaths) {
      return longestPathMs(this.#pathsMs(job, 0), job.rootStages);
    }
    let longestMs = 0;
    for (const position of job.rootStages) {
      longestMs = Math.max(longestMs, this.pathFromMs(job, position));
    }
    return longestMs;
  }

  /**
   * The paths from each stage, starting with the given one. Computed from the
   * last stage on, so that each one is visited once in a graph of many paths.
   */
  #pathsMs(job: StageJob, firstPosition: number): readonly number[] {
    const pathsMs = new Array<number>(job.graph.stages.length).fill(0);
    for (let at = pathsMs.length - 1; at >= firstPosition; at--) {
      const ownMs = job.isStageDone(at)
        ? 0
        : this.expectedCallMs(job.stage(at).service);
      pathsMs[at] = ownMs + longestPathMs(pathsMs, job.followersOf(at));
    }
    return pathsMs;
  }

  /** Server time that the waiting items of a stage need. */
  remainingStageWorkMs(job: StageJob, position: number): number {
    const waiting = job.waitingCount(position);
    if (waiting === 0) return 0;
    const limits = this.#limitsOf(job.stage(position).service);
    return limits === undefined ? 0 : waiting * amortizedItemMs(limits);
  }

  /** Server time of one service that the waiting items need. */
  serviceWorkMs(job: StageJob, service: ServiceName): number {
    let workMs = 0;
    for (const [position, stage] of job.graph.stages.entries()) {
      if (stage.service !== service) continue;
      workMs += this.remainingStageWorkMs(job, position);
    }
    return workMs;
  }

  /** Server time that the waiting items of all stages need. */
  remainingWorkMs(job: StageJob): number {
    let workMs = 0;
    for (const position of job.graph.stages.keys()) {
      workMs += this.remainingStageWorkMs(job, position);
    }
    return workMs;
  }

  /** Worth per millisecond of server time that the waiting items need. */
  worthPerMs(job: StageJob): number {
    return fullWorth(job.graph) / Math.max(1, this.remainingWorkMs(job));
  }
}

function longestPathMs(
  pathsMs: readonly number[],
  positions: readonly number[],
): number {
  let longestMs = 0;
  for (const position of positions) {
    longestMs = Math.max(longestMs, pathsMs[position] ?? 0);
  }
  return longestMs;
}
