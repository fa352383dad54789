/**
 * Dependencies of pipeline execution on the rest of the daemon.
 *
 * @module
 */

import type { StageCaller } from "../backend_servers/stage_call.js";
import type { ClaimStore } from "../claims/claim_store.js";
import type { Clock } from "../clock.js";
import type { LatencyRecords } from "../observability/latency_records.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { PermitSource } from "../pools/permit_source.js";
import type { RetryBudget } from "./retry_budget.js";
import type { StageEstimates } from "./stage_estimates.js";

export interface PipelineEnvironment {
  readonly permits: PermitSource;
  readonly stageCaller: StageCaller;
  readonly claims: ClaimStore;
  readonly estimates: StageEstimates;
  readonly retryBudget: RetryBudget;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly latencies: LatencyRecords;
  readonly logger: Logger;
}
