/**
 * What a batch scheduler is made from, and whom it tells.
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
import type { planBatches } from "./form_batch.js";
import type { StageJob } from "./stage_job.js";

export interface BatchSchedulerOptions {
  readonly register: ServerRegister;
  readonly limitsOf: (service: ServiceName) => BatchLimits | undefined;
  /** Bounds how many items are sent a second time. */
  readonly retryBudgetOf: (service: ServiceName) => SlidingRetryBudget;
  readonly onEnded: (job: StageJob, outcome: StageGraphOutcome) => void;
  /** Forms the calls; tests compare others with the product's own. */
  readonly plan?: typeof planBatches;
  /** These results at one server are needed no longer. */
  readonly onFree: (
    server: RegisteredServer,
    results: readonly ResultReference[],
  ) => void;
}
