/**
 * A batched call that is under way.
 *
 * @module
 */

import type { BatchServer } from "./batch_server.js";
import type { StageCall } from "./stage_call.js";

export interface OpenCall extends StageCall {
  readonly batchServer: BatchServer;
  readonly overdueAtMs: number;
  isOverdue: boolean;
}
