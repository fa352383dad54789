/**
 * Helper functions for the items of one batched call.
 *
 * @module
 */

import type { BatchEntry } from "./plan_batches.js";
import type { ItemOutcome, StageCall } from "./stage_call.js";
import type { StageItem } from "./stage_item.js";

/** Total size of the results of the items. */
export function totalResultBytes(entries: readonly BatchEntry[]): number {
  return entries.reduce(
    (sum, { job, item }) => sum + job.stage(item.stage).resultBytes,
    0,
  );
}

/** Makes the item available for sending again unless a newer call has it. */
export function requeueItem(call: StageCall, item: StageItem): void {
  if (item.state.kind !== "running" || item.state.callId !== call.id) return;
  item.state = { kind: "waiting" };
}

/** A reference that can't be one element of a header's list is of no use. */
const USABLE_REFERENCE = /^[\x21-\x2b\x2d-\x7e]{1,1024}$/;

/** The outcome that the server stated; an unusable or missing one is an error. */
export function toUsableOutcome(outcome: ItemOutcome | undefined): ItemOutcome {
  if (outcome?.kind === "failed") return outcome;
  return outcome !== undefined && USABLE_REFERENCE.test(outcome.reference)
    ? outcome
    : { kind: "failed", reason: "error" };
}

/** Whether the item failed because the server had no room for its result. */
export function isNoRoomFailure(outcome: ItemOutcome | undefined): boolean {
  return outcome?.kind === "failed" && outcome.reason === "noRoom";
}
