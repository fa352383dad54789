/**
 * How long the rest of a job's stages will take, and what it is worth.
 *
 * @module
 */

import type { ServiceName } from "@sassafrasstage/protocol/ids";
import type { BatchLimits } from "../routing/routing_configuration.js";
import { itemShareMs } from "./batch_server.js";
import type { StageJob } from "./stage_job.js";

/** Each step of priority weighs this many times less. */
const PRIORITY_STEP = 3;
/** Weight that a request has whatever its size; the users' sheets name it. */
const SIZE_FLOOR = 0.3;
/** A request weighs at most this many times the mean of its kind. */
const LARGEST_SIZE_WEIGHT = 4;
/** Share of a full batch that a likely call holds. */
const LIKELY_FILL = 0.5;
const MEASURE_GAIN = 0.2;

/** Measured and nominal durations of the calls of each service. */
export class WorkEstimates {
  readonly #limitsOf: (service: ServiceName) => BatchLimits | undefined;
  readonly #callMs = new Map<ServiceName, number>();

  constructor(limitsOf: (service: ServiceName) => BatchLimits | undefined) {
    this.#limitsOf = limitsOf;
  }

  noteCall(service: ServiceName, durationMs: number): void {
    const known = this.likelyCallMs(service);
    this.#callMs.set(service, known + (durationMs - known) * MEASURE_GAIN);
  }

  likelyCallMs(service: ServiceName): number {
    const measured = this.#callMs.get(service);
    if (measured !== undefined) return measured;
    const limits = this.#limitsOf(service);
    if (limits === undefined) return 0;
    return limits.callMs + limits.itemMs * limits.maxItems * LIKELY_FILL;
  }

  /** Likely time from the end of the stage to the end of all after it. */
  pathAfterMs(job: StageJob, position: number): number {
    return Math.max(
      0,
      ...job.followersOf(position).map((follower) =>
        this.pathFromMs(job, follower)
      ),
    );
  }

  /** Likely time from the start of the stage to the end of all after it. */
  pathFromMs(job: StageJob, position: number): number {
    const ownMs = job.isStageDone(position)
      ? 0
      : this.likelyCallMs(job.stage(position).service);
    return ownMs + this.pathAfterMs(job, position);
  }

  /** Likely time until all stages are done, without waiting. */
  remainingPathMs(job: StageJob): number {
    const starts = [...job.graph.stages.keys()]
      .filter((position) => job.stage(position).after.length === 0);
    return Math.max(
      0,
      ...starts.map((position) => this.pathFromMs(job, position)),
    );
  }

  /** Server time that the job still takes from a service. */
  remainingWorkMs(job: StageJob, service: ServiceName): number {
    const limits = this.#limitsOf(service);
    if (limits === undefined) return 0;
    let items = 0;
    for (const [position, stage] of job.graph.stages.entries()) {
      if (stage.service !== service) continue;
      items += job.waitingItems(position).length;
    }
    return items * itemShareMs(limits);
  }

  /** Worth for each millisecond of server time that the job still takes. */
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
  const size = SIZE_FLOOR + (1 - SIZE_FLOOR) * relativeSize;
  return PRIORITY_STEP ** -priority * Math.min(LARGEST_SIZE_WEIGHT, size);
}
