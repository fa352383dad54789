/**
 * What the outcome of a stage call says about the version of its server.
 *
 * @module
 */

import type { RolloutCallOutcome } from "../rollouts/rollout_gate.js";
import type { ItemOutcome, StageCallOutcome } from "./stage_call.js";

/**
 * A call with an item that failed for an unknown reason counts as failed. Items
 * that the server had no room, no time or no input for say nothing.
 */
export function toSampleOutcome(outcome: StageCallOutcome): RolloutCallOutcome {
  switch (outcome.kind) {
    case "answered":
      if (outcome.items.some(isError)) return "failed";
      return outcome.items.some(({ kind }) => kind === "made")
        ? "answered"
        : "notCounted";
    case "notRun":
      return "notCounted";
    case "unknown":
      return "failed";
  }
}

function isError(item: ItemOutcome): boolean {
  return item.kind === "failed" && item.reason === "error";
}
