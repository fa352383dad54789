/**
 * Sample services, backend servers, stages and stage graphs for unit tests of
 * stage scheduling.
 *
 * @module
 */

import {
  type AttemptId,
  type BackendServerId,
  type DataCentreName,
  type ServiceName,
  type SoftwareVersion,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import type {
  GraphStage,
  StageGraph,
} from "@sassafrasstage/protocol/stage_graph";
import type { ServerReport } from "../register/server_register.js";
import type { BatchLimits } from "../routing/routing_configuration.js";

export const ENCODER = toId<ServiceName>("encoder");
export const RERANKER = toId<ServiceName>("reranker");
export const EAST = toId<DataCentreName>("east");
export const WEST = toId<DataCentreName>("west");
export const OWNER = toId<VmId>("vm-1");

/** The cost per call (200 ms) far exceeds the cost per item (20 ms). */
export const SAMPLE_LIMITS: BatchLimits = {
  maxConcurrentCalls: 1,
  maxItems: 8,
  callMs: 200,
  itemMs: 20,
  resultRoomBytes: 10_000_000,
  resultRetentionMs: 4000,
};

export function makeReport(
  id: string,
  report: Partial<ServerReport> = {},
): ServerReport {
  return {
    id: toId<BackendServerId>(id),
    service: ENCODER,
    address: { host: "10.0.0.1", port: 8000 },
    dataCentre: EAST,
    softwareVersion: toId<SoftwareVersion>("v1"),
    slots: 1,
    isDraining: false,
    coldRemainingMs: 0,
    startedAt: 1,
    ...report,
  };
}

export function makeStage(stage: Partial<GraphStage> = {}): GraphStage {
  return {
    service: ENCODER,
    after: [],
    itemCount: 1,
    resultBytes: 1000,
    ...stage,
  };
}

let attemptCount = 0;

export function makeGraph(graph: Partial<StageGraph> = {}): StageGraph {
  attemptCount += 1;
  return {
    attemptId: toId<AttemptId>(`attempt-${attemptCount}`),
    inputKey: "key",
    stages: [makeStage()],
    dataCentre: EAST,
    priority: 0,
    relativeSize: 1,
    objectiveInMs: 1500,
    deadlineInMs: 10_000,
    finishMs: 100,
    ...graph,
  };
}
