/**
 * Outcomes of graphs that were taken from a lost coordinator and submitted to
 * another one.
 *
 * The former coordinator goes on for a while. If the present one can't run the
 * graph, its refusal is held back until the former one can't bring results.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { PeerMessage } from "@sassafrasstage/protocol/peer_messages";
import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type {
  PeerNetwork,
  ReceivedPeerMessage,
} from "../peers/peer_network.js";
import {
  type GraphOutcome,
  jobId,
  type PendingGraph,
} from "./pending_graph.js";
import type { StageCoordinator } from "./stage_coordinator.js";

export interface FormerOutcomesOptions {
  readonly network: PeerNetwork;
  readonly coordinator: StageCoordinator;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly settle: (pending: PendingGraph, outcome: GraphOutcome) => void;
}

type StageGraphEndedMessage = PeerMessage & { type: "stageGraphEnded" };

export class FormerOutcomes {
  readonly #options: FormerOutcomesOptions;

  constructor(options: FormerOutcomesOptions) {
    this.#options = options;
  }

  /** Returns false if the refusal is certain. */
  hold(
    pending: PendingGraph,
    refusal: GraphOutcome & { readonly kind: "refused" },
  ): boolean {
    const { metrics, logger, clock } = this.#options;
    const nowMs = clock.nowMs();
    const dueMs = this.#outcomeDueMs(pending, nowMs);
    if (dueMs === undefined) return false;
    pending.heldRefusal = refusal;
    metrics.countEvent("stageRefusalHeld");
    logger.info("stageRefusalHeld", {
      request: pending.graph.attemptId,
      reason: refusal.reason,
      waitMs: Math.round(dueMs - nowMs),
    });
    setTimeout(() => {
      this.settleHeld(pending);
    }, dueMs - nowMs + 1);
    return true;
  }

  /** Passes on a held refusal once no former coordinator can bring results. */
  settleHeld(pending: PendingGraph): void {
    const { heldRefusal } = pending;
    if (heldRefusal === undefined || pending.isSettled) return;
    const nowMs = this.#options.clock.nowMs();
    if (this.#outcomeDueMs(pending, nowMs) !== undefined) return;
    pending.heldRefusal = undefined;
    this.#options.settle(pending, heldRefusal);
  }

  /** A former coordinator may be back, or another process of its VM is. */
  handleConnected(
    pending: PendingGraph,
    vmId: VmId,
    isSameProcess: boolean,
  ): void {
    if (pending.isSettled || !pending.formers.has(vmId)) return;
    if (!isSameProcess) {
      pending.formers.remove(vmId);
      this.settleHeld(pending);
      return;
    }
    if (pending.heldRefusal === undefined) return;
    pending.formers.remove(vmId);
    pending.heldRefusal = undefined;
    pending.coordinator = vmId;
  }

  /** Returns false if the outcome isn't needed. */
  take(
    pending: PendingGraph,
    { from, message }: ReceivedPeerMessage<StageGraphEndedMessage>,
  ): boolean {
    const { metrics, settle } = this.#options;
    if (pending.isSettled || !pending.formers.remove(from.vmId)) return false;
    if (message.outcome.kind !== "completed") {
      this.settleHeld(pending);
      return true;
    }
    metrics.countEvent("stageResultOfFormerCoordinator");
    if (pending.heldRefusal === undefined) {
      releaseAt(this.#options, pending.coordinator, pending.requestNumber);
    }
    pending.coordinator = from.vmId;
    settle(pending, message.outcome);
    return true;
  }

  #outcomeDueMs(pending: PendingGraph, nowMs: number): number | undefined {
    const { members } = this.#options.network.view(nowMs);
    function isGone(vmId: VmId): boolean {
      const member = members.find((other) => other.vmId === vmId);
      return member === undefined || member.state === "gone";
    }
    return pending.formers.outcomeDueMs(isGone, nowMs);
  }
}

/** Releases the results of a graph at a coordinator, or cancels the graph. */
export function releaseAt(
  { network, coordinator }: Pick<
    FormerOutcomesOptions,
    "network" | "coordinator"
  >,
  vmId: VmId,
  requestNumber: number,
): void {
  if (vmId === network.self.vmId) {
    coordinator.release(jobId(network.self, requestNumber));
  } else network.send(vmId, { type: "stageGraphRelease", requestNumber });
}
