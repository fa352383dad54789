/**
 * Options of the batch scheduler.
 *
 * @module
 */

import type {
  BackendServerId,
  ServiceName,
} from "@sassafrasstage/protocol/ids";
import type {
  ResultReference,
  StageGraphOutcome,
} from "@sassafrasstage/protocol/stage_graph";
import type { RolloutGate } from "../rollouts/rollout_gate.js";
import type { BufferAccount } from "../memory/buffer_account.js";
import type { SlidingRetryBudget } from "../placement/sliding_retry_budget.js";
import type {
  RegisteredServer,
  ServerRegister,
} from "../register/server_register.js";
import type { BatchLimits } from "../routing/routing_configuration.js";
import type { CallerCostQueue } from "./caller_cost_queue.js";
import type { planBatches } from "./plan_batches.js";
import type { StageJob } from "./stage_job.js";

/** Rate limits that hold for the calls of all VMs together. */
export interface CallRateLimits {
  requestsPerSecond(id: BackendServerId): number | undefined;
  /**
   * Whether the server accepts a call now. If a permit is needed, requests it
   * so that a later check succeeds.
   */
  reserve(id: BackendServerId, nowMs: number): boolean;
  /** Uses the permit for a call. */
  useReservation(id: BackendServerId): void;
}

/** A job that is over, or that was refused before anything was stored for it. */
export type EndedJob = Pick<StageJob, "id" | "graph" | "acceptedAtMs">;

export interface BatchSchedulerOptions {
  /** Absent where rollouts of versions aren't supervised. */
  readonly rollouts?: RolloutGate | undefined;
  readonly register: ServerRegister;
  readonly limitsOf: (service: ServiceName) => BatchLimits | undefined;
  readonly rateLimits: CallRateLimits;
  /** Limits how many items are sent again. */
  readonly retryBudgetOf: (service: ServiceName) => SlidingRetryBudget;
  /** Bounds the memory of all jobs; without it, it isn't bounded. */
  readonly buffers?: BufferAccount | undefined;
  readonly onEnded: (job: EndedJob, outcome: StageGraphOutcome) => void;
  /** Returns the queue's state with the policy `callerCost`, else undefined. */
  readonly callerCost?: () => CallerCostQueue | undefined;
  /** Planner for calls; tests replace it to compare the default with others. */
  readonly plan?: typeof planBatches;
  /** Called with results at one server that are no longer needed. */
  readonly onFreeResults: (
    server: RegisteredServer,
    results: readonly ResultReference[],
  ) => void;
}
