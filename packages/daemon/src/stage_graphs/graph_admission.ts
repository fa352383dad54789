/**
 * Refuses graphs that no schedule can complete, before anything is allocated
 * for their items.
 *
 * All results of a stage have to exist at the same time, as each item of the
 * next stage takes all of them.
 *
 * @module
 */

import {
  countItems,
  findGraphFault,
  type GraphStage,
  MAX_GRAPH_ITEMS,
  type StageGraph,
  type StageRefusalReason,
} from "@sassafrasstage/protocol/stage_graph";
import type { BatchServer } from "./batch_server.js";

export interface GraphAdmissionInput {
  readonly graph: StageGraph;
  /** Servers that accept work for the stage; none if they aren't known yet. */
  readonly serversOf: (stage: GraphStage) => readonly BatchServer[];
}

/** A call may take less than its configured time, but not less than this share. */
const SHORTEST_CALL_SHARE = 0.5;

/**
 * Returns why the graph can't be run, or undefined.
 *
 * @example
 * ```ts
 * const reason = findGraphRefusal({ graph, serversOf });
 * ```
 */
export function findGraphRefusal(
  { graph, serversOf }: GraphAdmissionInput,
): StageRefusalReason | undefined {
  if (findGraphFault(graph.stages) !== undefined) return "invalidGraph";
  if (countItems(graph.stages) > MAX_GRAPH_ITEMS) return "tooManyItems";
  const timeMs = graph.deadlineInMs - graph.finishMs;
  for (const stage of graph.stages) {
    if (stage.itemCount <= 1) continue;
    const servers = serversOf(stage);
    if (servers.length === 0) continue;
    if (stage.itemCount > maxItemsOf(stage, servers, timeMs)) {
      return "tooManyItems";
    }
  }
  return undefined;
}

/** Upper bound of the stage's results that the servers can hold at one time. */
function maxItemsOf(
  stage: GraphStage,
  servers: readonly BatchServer[],
  timeMs: number,
): number {
  let maxItems = 0;
  for (const { limits } of servers) {
    const callMs = limits.callMs * SHORTEST_CALL_SHARE;
    const windowMs = Math.min(timeMs, limits.resultRetentionMs + callMs);
    const callsInWindow = callMs > 0 ? Math.ceil(windowMs / callMs) : Infinity;
    const makeable = Math.max(1, callsInWindow) * limits.maxItems *
      limits.maxConcurrentCalls;
    const holdable = stage.resultBytes > 0
      ? Math.floor(limits.resultRoomBytes / stage.resultBytes)
      : Infinity;
    maxItems += Math.min(makeable, holdable);
  }
  return maxItems;
}
