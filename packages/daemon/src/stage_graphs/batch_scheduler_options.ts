/**
 * Options of the batch scheduler.
 *
 * @module
 */

import type { ServiceName } from "@sassafrasstage/protocol/ids";
import type {
  ResultReference,
  StageGraphOutcome,
} from "@sassafrasstage/protocol/stage_graph";
import type { SlidingRetryBudget } from "../placement/sliding_retry_budget.js";
import type {
  RegisteredServer,
  ServerRegister,
} from "../register/server_register.js";
import type { BatchLimits } from "../routing/routing_configuration.js";
import type { planBatches } from "./plan_batches.js";
import type { StageJob } from "./stage_job.js";

export interface BatchSchedulerOptions {
  readonly register: ServerRegister;
  readonly limitsOf: (service: ServiceName) => BatchLimits | undefined;
  /** Limits how many items are sent again. */
  readonly retryBudgetOf: (service: ServiceName) => SlidingRetryBudget;
  readonly onEnded: (job: StageJob, outcome: StageGraphOutcome) => void;
  /** Planner for calls; tests replace it to compare the default with others. */
  readonly plan?: typeof planBatches;
  /** Called with results at one server that are no longer needed. */
  readonly onFreeResults: (
    server: RegisteredServer,
    results: readonly ResultReference[],
  ) => void;
}
