/**
 * Batched calls in flight.
 *
 * @module
 */

import type { ServiceName } from "@sassafrasstage/protocol/ids";
import type { BatchServer } from "./batch_server.js";
import type { BatchEntry, PlannedBatch } from "./plan_batches.js";
import type { ExposurePermit } from "../rollouts/rollout_gate.js";
import { requeueItem } from "./batch_entries.js";
import type { NotRunReason, StageCall } from "./stage_call.js";

export interface InFlightCall extends StageCall {
  readonly batchServer: BatchServer;
  readonly overdueAtMs: number;
  isOverdue: boolean;
}

export interface NewCall {
  readonly id: number;
  readonly service: ServiceName;
  readonly entries: readonly BatchEntry[];
  readonly batch: PlannedBatch;
  readonly permit?: ExposurePermit | undefined;
  readonly nowMs: number;
}

export function makeInFlightCall(call: NewCall): InFlightCall {
  const { id, service, entries, permit, nowMs } = call;
  const batchServer = call.batch.server;
  return {
    id,
    service,
    server: batchServer.server,
    entries,
    startedAtMs: nowMs,
    permit,
    batchServer,
    overdueAtMs: nowMs + batchServer.overdueAfterMs(entries.length, nowMs),
    isOverdue: false,
  };
}

/** Makes the items of an overdue call available to other servers, once. */
export function requeueIfOverdue(call: InFlightCall, nowMs: number): void {
  if (call.isOverdue || nowMs < call.overdueAtMs) return;
  call.isOverdue = true;
  const durationMs = nowMs - call.startedAtMs;
  call.batchServer.recordDuration(call.entries.length, durationMs, nowMs);
  for (const { item } of call.entries) requeueItem(call, item);
}

/** Updates the state of a server that did not run any item of the call. */
export function handleNotRun(
  call: InFlightCall,
  reason: NotRunReason,
  nowMs: number,
): void {
  const { batchServer, entries } = call;
  switch (reason) {
    case "full":
      batchServer.markReachable();
      batchServer.suspendBriefly(nowMs);
      break;
    case "notAllowed":
      // The call wasn't written, so it doesn't count as a send.
      for (const { item } of entries) item.sendCount -= 1;
      break;
    case "notConnected":
    case "otherServer":
      batchServer.markUnreachable(nowMs);
      batchServer.suspend(nowMs);
      // The call did not reach the server, so it doesn't count as a send.
      for (const { item } of entries) item.sendCount -= 1;
      break;
  }
}
