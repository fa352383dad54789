/**
 * Estimates of the remaining time and server work of jobs, and of their worth.
 *
 * @module
 */

import type { ServiceName } from "@sassafrasstage/protocol/ids";
import type { BatchLimits } from "../routing/routing_configuration.js";
import { amortizedItemMs } from "./batch_server.js";
import type { StageJob } from "./stage_job.js";

/** Factor by which the weight of a request decreases per step of priority. */
const PRIORITY_WEIGHT_RATIO = 3;
/** Weight independent of the size of a request, as the requirements specify. */
const MIN_SIZE_WEIGHT = 0.3;
/** Maximum weight of a request, relative to the mean of its kind. */
const MAX_SIZE_WEIGHT = 4;
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
    return Math.max(
      0,
      ...job.followersOf(position).map((follower) =>
        this.pathFromMs(job, follower)
      ),
    );
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
    const rootStages = [...job.graph.stages.keys()]
      .filter((position) => job.stage(position).after.length === 0);
    return Math.max(
      0,
      ...rootStages.map((position) => this.pathFromMs(job, position)),
    );
  }

  /** Server time that the waiting items of the job need from a service. */
  remainingWorkMs(job: StageJob, service: ServiceName): number {
    const limits = this.#limitsOf(service);
    if (limits === undefined) return 0;
    let items = 0;
    for (const [position, stage] of job.graph.stages.entries()) {
      if (stage.service !== service) continue;
      items += job.waitingItems(position).length;
    }
    return items * amortizedItemMs(limits);
  }

  /** Worth per millisecond of server time that the waiting items need. */
  worthPerMs(job: StageJob): number {
    let workMs = 0;
    for (const service of servicesOf(job)) {
      workMs += this.remainingWorkMs(job, service);
    }
    return worthOf(job) / Math.max(1, workMs);
  }
}

export function servicesOf(job: StageJob): Set<ServiceName> {
  return new Set(job.graph.stages.map((stage) => stage.service));
}

function worthOf(job: StageJob): number {
  const { priority, relativeSize } = job.graph;
  const size = MIN_SIZE_WEIGHT + (1 - MIN_SIZE_WEIGHT) * relativeSize;
  return PRIORITY_WEIGHT_RATIO ** -priority * Math.min(MAX_SIZE_WEIGHT, size);
}
