/**
 * A stage graph that this VM has submitted to a coordinator.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { PeerMessage } from "@sassafrasstage/protocol/peer_messages";
import type {
  StageGraph,
  StageGraphOutcome,
} from "@sassafrasstage/protocol/stage_graph";
import type { PeerIdentity } from "../peers/peer_network.js";

/** Final outcome of a graph, whichever VM ran it. */
export type GraphOutcome = Exclude<
  StageGraphOutcome,
  { readonly kind: "moved" }
>;

export interface PendingGraph {
  readonly requestNumber: number;
  /** Name of the group of services that share a coordinator. */
  readonly group: string;
  readonly graph: StageGraph;
  readonly startedAtMs: number;
  readonly settle: (outcome: GraphOutcome) => void;
  coordinator: VmId;
  /** To the present coordinator. */
  submittedAtMs: number;
  isSettled: boolean;
}

/** Includes the incarnation, as request numbers restart with the process. */
export function jobId(owner: PeerIdentity, requestNumber: number): string {
  return `${owner.vmId}/${owner.incarnation}/${requestNumber}`;
}

/** The graph with its objective and deadline relative to now. */
export function graphWithTimeLeft(
  pending: PendingGraph,
  nowMs: number,
): StageGraph {
  const spentMs = nowMs - pending.startedAtMs;
  return {
    ...pending.graph,
    objectiveInMs: pending.graph.objectiveInMs - spentMs,
    deadlineInMs: pending.graph.deadlineInMs - spentMs,
  };
}

export function toRunMessage(
  pending: PendingGraph,
  nowMs: number,
): PeerMessage & { readonly type: "stageGraphRun" } {
  const { requestNumber, group } = pending;
  const graph = graphWithTimeLeft(pending, nowMs);
  return { type: "stageGraphRun", requestNumber, group, graph };
}
