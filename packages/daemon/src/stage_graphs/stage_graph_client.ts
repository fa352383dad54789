/**
 * Has the stages of this VM's requests run, by whichever VM coordinates them.
 *
 * All VMs that hear one another choose the same coordinator for a group of
 * stage services. When it falls silent, what it had not finished is given to
 * its successor from the start: a stage's item may be made again.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { PeerMessage } from "@sassafrasstage/protocol/peer_messages";
import type { Clock } from "../clock.js";
import { makeDeferred } from "../deferred.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type {
  PeerIdentity,
  PeerNetwork,
  Received,
} from "../peers/peer_network.js";
import { rankByRendezvous } from "../peers/rendezvous.js";
import type { StageCoordinator } from "./stage_coordinator.js";
import type {
  StageGraph,
  StageGraphOutcome,
} from "@sassafrasstage/protocol/stage_graph";

export interface StageGraphClientOptions {
  readonly network: PeerNetwork;
  readonly coordinator: StageCoordinator;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** A graph that runs, or whose results are in use. */
export interface RunningGraph {
  readonly outcome: Promise<StageGraphOutcome>;
  /** Gives the results back, or gives the graph up. */
  release(): void;
}

interface PendingGraph {
  readonly requestNumber: number;
  /** Names the services that one coordinator runs. */
  readonly group: string;
  readonly graph: StageGraph;
  readonly startedAtMs: number;
  readonly settle: (outcome: StageGraphOutcome) => void;
  coordinator: VmId;
  isSettled: boolean;
}

export class StageGraphClient {
  readonly #options: StageGraphClientOptions;
  readonly #pending = new Map<number, PendingGraph>();
  #lastRequestNumber = 0;

  constructor(options: StageGraphClientOptions) {
    this.#options = options;
    const { network } = options;
    network.messages.on("stageGraphRun", (received) => {
      this.#serve(received);
    });
    network.messages.on("stageGraphEnded", (received) => {
      this.#takeEnded(received);
    });
    network.messages.on("stageGraphRelease", ({ from, message }) => {
      options.coordinator.release(jobId(from, message.requestNumber));
    });
    network.life.on("disconnected", ({ vmId }) => {
      options.coordinator.cancelOwnedBy(vmId);
      this.#resubmitFrom(vmId);
    });
    network.life.on("membershipChanged", () => {
      this.#resubmitFromSilent();
    });
  }

  run(graph: StageGraph, group: string): RunningGraph {
    this.#lastRequestNumber += 1;
    const requestNumber = this.#lastRequestNumber;
    const outcome = makeDeferred<StageGraphOutcome>();
    const pending: PendingGraph = {
      requestNumber,
      group,
      graph,
      startedAtMs: this.#options.clock.nowMs(),
      settle: outcome.resolve,
      coordinator: this.#options.network.self.vmId,
      isSettled: false,
    };
    this.#pending.set(requestNumber, pending);
    this.#submit(pending);
    return {
      outcome: outcome.promise,
      release: () => {
        this.#release(pending);
      },
    };
  }

  #submit(pending: PendingGraph): void {
    const { network, coordinator } = this.#options;
    const spentMs = this.#options.clock.nowMs() - pending.startedAtMs;
    const graph = {
      ...pending.graph,
      objectiveInMs: pending.graph.objectiveInMs - spentMs,
      deadlineInMs: pending.graph.deadlineInMs - spentMs,
    };
    pending.coordinator = this.#chooseCoordinator(pending.group);
    const { requestNumber } = pending;
    const isSent = pending.coordinator !== network.self.vmId &&
      network.send(pending.coordinator, {
        type: "stageGraphRun",
        requestNumber,
        graph,
      });
    if (isSent) return;
    pending.coordinator = network.self.vmId;
    coordinator.submit({
      id: jobId(network.self, requestNumber),
      owner: network.self.vmId,
      graph,
      onEnded: (outcome) => {
        this.#settle(pending, outcome);
      },
    });
  }

  #chooseCoordinator(group: string): VmId {
    const { network, clock } = this.#options;
    const candidates = network.view(clock.nowMs()).members
      .filter((member) => member.state === "live")
      .map((member) => member.vmId);
    return rankByRendezvous(group, candidates)[0] ?? network.self.vmId;
  }

  #serve(received: Received<PeerMessage & { type: "stageGraphRun" }>): void {
    const { from, message } = received;
    const { requestNumber, graph } = message;
    this.#options.coordinator.submit({
      id: jobId(from, requestNumber),
      owner: from.vmId,
      graph,
      onEnded: (outcome) => {
        this.#options.network.send(from.vmId, {
          type: "stageGraphEnded",
          requestNumber,
          outcome,
        });
      },
    });
  }

  #takeEnded(
    received: Received<PeerMessage & { type: "stageGraphEnded" }>,
  ): void {
    const { from, message } = received;
    const pending = this.#pending.get(message.requestNumber);
    if (pending?.coordinator === from.vmId && !pending.isSettled) {
      this.#settle(pending, message.outcome);
      return;
    }
    // An earlier coordinator's outcome; its results are of no use.
    this.#options.metrics.countDrop("lateResult");
    this.#options.network.send(from.vmId, {
      type: "stageGraphRelease",
      requestNumber: message.requestNumber,
    });
  }

  #settle(pending: PendingGraph, outcome: StageGraphOutcome): void {
    if (pending.isSettled) return;
    pending.isSettled = true;
    if (outcome.kind === "refused") this.#pending.delete(pending.requestNumber);
    pending.settle(outcome);
  }

  #release(pending: PendingGraph): void {
    if (!this.#pending.delete(pending.requestNumber)) return;
    pending.isSettled = true;
    const { network, coordinator } = this.#options;
    const { requestNumber } = pending;
    if (pending.coordinator === network.self.vmId) {
      coordinator.release(jobId(network.self, requestNumber));
      return;
    }
    network.send(pending.coordinator, {
      type: "stageGraphRelease",
      requestNumber,
    });
  }

  #resubmitFromSilent(): void {
    const { network, clock } = this.#options;
    for (const member of network.view(clock.nowMs()).members) {
      if (member.isSelf) continue;
      if (member.state === "silent" || member.state === "gone") {
        this.#resubmitFrom(member.vmId);
      }
    }
  }

  #resubmitFrom(vmId: VmId): void {
    const unfinished = [...this.#pending.values()].filter((pending) =>
      pending.coordinator === vmId && !pending.isSettled
    );
    if (unfinished.length === 0) return;
    this.#options.logger.warn("stageCoordinatorLost", {
      coordinator: vmId,
      graphs: unfinished.length,
    });
    this.#options.metrics.countEvent(
      "stageGraphResubmitted",
      unfinished.length,
    );
    for (const pending of unfinished) this.#submit(pending);
  }
}

/** Numbers start anew with each process life of the owner. */
function jobId(owner: PeerIdentity, requestNumber: number): string {
  return `${owner.vmId}/${owner.incarnation}/${requestNumber}`;
}
