/**
 * Orders the jobs of a batch scheduler by what their callers lose if they are
 * refused or delayed.
 *
 * @module
 */

import type { ServiceName } from "@sassafrasstage/protocol/ids";
import {
  type DeferralCost,
  deferralCost,
  fullWorth,
  LATE_WORTH_SHARE,
} from "../overload/deferral_cost.js";
import { FairShares, type ShareGroups } from "../overload/fair_shares.js";
import { ReturnSpread } from "../overload/return_spread.js";
import type { StageGraph } from "@sassafrasstage/protocol/stage_graph";
import type { StageJob } from "./stage_job.js";
import type { WorkEstimates } from "./work_estimates.js";

export interface CallerCostInput {
  readonly estimates: WorkEstimates;
  /** Expected time until the job's stages are done, without queueing. */
  readonly pathMs: number;
  /** Expected time until the next call of the service. */
  readonly turnMs: number;
  readonly nowMs: number;
}

/** Wait and work of a refused job at the service that it waits longest for. */
export interface RefusedWork {
  readonly service: ServiceName;
  readonly waitMs: number;
  readonly workMs: number;
  readonly capacity: number;
  readonly nowMs: number;
}

/** Clients wait as instructed up to this fraction of the time they have left. */
const MAX_WAIT_FRACTION = 0.3;

/** Work is preferred only if this multiple of its path is left. */
const PREFERRED_SLACK_FACTOR = 2;

/** State of the policy at one scheduler. */
export class CallerCostQueue {
  readonly #shares = new FairShares();
  readonly #returns = new Map<ServiceName, ReturnSpread>();

  costOf(job: StageJob, input: CallerCostInput): DeferralCost {
    const { estimates, pathMs, turnMs, nowMs } = input;
    const { priority, relativeSize } = job.graph;
    return deferralCost({
      priority,
      relativeSize,
      objectiveAtMs: job.objectiveAtMs,
      deadlineAtMs: job.deadlineAtMs,
      pathMs,
      workLeftMs: estimates.remainingWorkMs(job),
      precedence: this.#shares.precedence(job.id, groupsOf(job.graph), {
        canEnd: nowMs + pathMs * PREFERRED_SLACK_FACTOR <= job.deadlineAtMs,
        nowMs,
      }),
    }, { nowMs, turnMs });
  }

  /** What the caller loses if an item of the job isn't sent again. */
  retryWorth(job: StageJob, nowMs: number): number {
    return fullWorth(job.graph) *
      (nowMs <= job.objectiveAtMs ? 1 : LATE_WORTH_SHARE);
  }

  /** @param wasServed Whether the stages were done before the deadline */
  recordOutcome(job: StageJob, wasServed: boolean, nowMs: number): void {
    this.#shares.record(job.id, groupsOf(job.graph), {
      wasServed,
      isReturn: (job.graph.ageMs ?? 0) > 0,
      nowMs,
    });
  }

  /** Returns when the client of a refused job should come back. */
  retryAfterMs(job: StageJob, work: RefusedWork): number {
    let returns = this.#returns.get(work.service);
    if (returns === undefined) {
      returns = new ReturnSpread();
      this.#returns.set(work.service, returns);
    }
    const { nowMs, waitMs, workMs, capacity } = work;
    const latestMs = (job.deadlineAtMs - nowMs) * MAX_WAIT_FRACTION;
    return returns.book({
      nowMs,
      earliestMs: Math.max(0, Math.min(waitMs, latestMs)),
      latestMs,
      workMs,
      capacity,
    });
  }
}

function groupsOf(graph: StageGraph): ShareGroups {
  const { account, kind, priority, relativeSize } = graph;
  return { account, kind, priority, relativeSize };
}
