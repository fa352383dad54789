/**
 * Queries and small commands on the items of one batched call.
 *
 * @module
 */

import type { BatchEntry } from "./form_batch.js";
import type { ItemOutcome, StageCall } from "./stage_call.js";
import type { StageItem } from "./stage_job.js";

/** Bytes that the results of all these items take. */
export function roomOf(entries: readonly BatchEntry[]): number {
  return entries.reduce(
    (sum, { job, item }) => sum + job.stage(item.stage).resultBytes,
    0,
  );
}

/** Lets the item be sent again, unless another call has it by now. */
export function returnItem(call: StageCall, item: StageItem): void {
  if (item.state.kind !== "running" || item.state.callId !== call.id) return;
  item.state = { kind: "waiting" };
}

/** Whether the server had no room for the item's result. */
export function isNoRoom(outcome: ItemOutcome | undefined): boolean {
  return outcome?.kind === "failed" && outcome.reason === "noRoom";
}
