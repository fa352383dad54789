/**
 * A batched call that is under way.
 *
 * @module
 */

import type { BatchServer } from "./batch_server.js";
import { returnItem } from "./batch_entries.js";
import type { NotRunReason, StageCall } from "./stage_call.js";

export interface OpenCall extends StageCall {
  readonly batchServer: BatchServer;
  readonly overdueAtMs: number;
  isOverdue: boolean;
}

/** Sends an overdue call's items elsewhere, once. */
export function checkOverdue(call: OpenCall, nowMs: number): void {
  if (call.isOverdue || nowMs < call.overdueAtMs) return;
  call.isOverdue = true;
  const durationMs = nowMs - call.startedAtMs;
  call.batchServer.noteDuration(call.entries.length, durationMs, nowMs);
  for (const { item } of call.entries) returnItem(call, item);
}

/** Notes at the call's server that it took nothing of it. */
export function noteNotRun(
  call: OpenCall,
  reason: NotRunReason,
  nowMs: number,
): void {
  const { batchServer, entries } = call;
  switch (reason) {
    case "full":
      batchServer.noteReached();
      batchServer.pause(nowMs);
      break;
    case "notConnected":
    case "otherServer":
      batchServer.noteUnreachable(nowMs);
      batchServer.suspend(nowMs);
      // The server got nothing of it, so it doesn't count as a send.
      for (const { item } of entries) item.sendCount -= 1;
      break;
  }
}
