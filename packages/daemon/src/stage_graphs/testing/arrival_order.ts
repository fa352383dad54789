/**
 * First-come, first-served planner, used as the baseline for the batch planner:
 * each server takes the items at the head of the queue.
 *
 * @module
 */

import type {
  BatchEntry,
  BatchPlanInput,
  PlannedBatch,
} from "../plan_batches.js";

export function planInArrivalOrder(input: BatchPlanInput): PlannedBatch[] {
  const waiting: BatchEntry[] = [];
  for (const job of input.jobs) {
    for (const stage of job.readyStages()) {
      if (job.stage(stage).service !== input.service) continue;
      for (const item of job.waitingItems(stage)) waiting.push({ job, item });
    }
  }
  const batches: PlannedBatch[] = [];
  for (const server of input.idle) {
    const entries: BatchEntry[] = [];
    let availableBytes = server.availableResultBytes(input.nowMs);
    while (waiting.length > 0 && entries.length < server.limits.maxItems) {
      const [next] = waiting;
      if (next === undefined) break;
      const bytes = next.job.stage(next.item.stage).resultBytes;
      if (bytes > availableBytes) break;
      availableBytes -= bytes;
      entries.push(next);
      waiting.shift();
    }
    if (entries.length > 0) batches.push({ server, entries });
  }
  return batches;
}
