/**
 * Submits the stage graphs of this VM's requests to the coordinating VM.
 *
 * All VMs that are connected to each other select the same coordinator for a
 * group of stage services. If the coordinator fails, its unfinished graphs are
 * submitted to its successor from the start, so items may be run again.
 *
 * @module
 */

import type { Incarnation, VmId } from "@sassafrasstage/protocol/ids";
import type { PeerMessage } from "@sassafrasstage/protocol/peer_messages";
import type { Clock } from "../clock.js";
import { makeDeferred } from "../deferred.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type {
  PeerIdentity,
  PeerNetwork,
  ReceivedPeerMessage,
} from "../peers/peer_network.js";
import { coordinatorCandidates, isCutOff } from "./coordinator_candidates.js";
import { CoordinatorSelector } from "./coordinator_selector.js";
import { findSilentCoordinators } from "./find_silent_coordinators.js";
import {
  type GraphOutcome,
  graphWithTimeLeft,
  jobId,
  type PendingGraph,
  toRunMessage,
} from "./pending_graph.js";
import { ReconnectGrace } from "./reconnect_grace.js";
import type { OverloadPolicy } from "../overload/overload_policy.js";
import type { StageCoordinator } from "./stage_coordinator.js";
import type {
  StageGraph,
  StageGraphOutcome,
} from "@sassafrasstage/protocol/stage_graph";

export interface StageGraphClientOptions {
  readonly network: PeerNetwork;
  readonly coordinator: StageCoordinator;
  readonly overloadPolicy?: OverloadPolicy | undefined;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** A graph that is running or whose results are in use. */
export interface RunningGraph {
  readonly outcome: Promise<GraphOutcome>;
  /** Frees the results, or cancels the graph if it is still running. */
  release(): void;
}

/** Interval at which a coordinator announces itself to the other VMs. */
const ANNOUNCE_INTERVAL_MS = 300;
const SEND_RETRY_DELAY_MS = 50;
/** All retries together take about as long as a reset link may take. */
const MAX_SEND_RETRIES = 8;
/** If the process pauses for this long, another VM may have taken over. */
const PAUSE_THRESHOLD_MS = 1000;

export class StageGraphClient {
  readonly #options: StageGraphClientOptions;
  readonly #pending = new Map<number, PendingGraph>();
  readonly #selector = new CoordinatorSelector();
  readonly #grace: ReconnectGrace;
  readonly #incarnations = new Map<VmId, Incarnation>();
  readonly #timer: NodeJS.Timeout;
  /** The coordinator chosen last for each group. */
  readonly #chosenCoordinators = new Map<string, VmId>();
  #lastRequestNumber = 0;
  #lastAnnounceAtMs: number;
  /** When this process last went on after a pause. */
  #resumedAtMs = -Infinity;

  constructor(options: StageGraphClientOptions) {
    this.#options = options;
    const { network } = options;
    this.#grace = new ReconnectGrace({
      onCoordinatorLost: (vmId) => {
        this.#resubmitFrom(vmId);
      },
      onOwnerLost: (vmId) => {
        options.coordinator.cancelOwnedBy(vmId);
      },
    });
    network.messages.on("stageGraphRun", (received) => {
      this.#handleRun(received);
    });
    network.messages.on("stageGraphEnded", (received) => {
      this.#handleEnded(received);
    });
    network.messages.on("stageGraphRelease", ({ from, message }) => {
      options.coordinator.release(jobId(from, message.requestNumber));
    });
    network.messages.on("stageCoordinating", ({ from, message }) => {
      this.#selector.recordAnnouncement(message.group, from.vmId, {
        activeForMs: message.activeForMs,
        nowMs: options.clock.nowMs(),
      });
      if (message.isWorkTimeStated === true) {
        options.overloadPolicy?.recordStatedWorkTime("peer");
      }
    });
    network.lifecycle.on("disconnected", ({ vmId }) => {
      this.#grace.start(vmId);
      if (this.#liveVms().length <= 1) this.#selector.forgetOwnActivity();
    });
    network.lifecycle.on("connected", (peer) => {
      this.#handleReconnect(peer);
    });
    network.lifecycle.on("membershipChanged", () => {
      this.#resubmitFromSilentPeers();
    });
    this.#lastAnnounceAtMs = options.clock.nowMs();
    this.#timer = setInterval(() => {
      this.#announce();
    }, ANNOUNCE_INTERVAL_MS);
  }

  close(): void {
    clearInterval(this.#timer);
    this.#grace.close();
  }

  /** Hands over what this VM no longer coordinates, without waiting. */
  handleReachChange(): void {
    this.#announce();
  }

  run(graph: StageGraph, group: string): RunningGraph {
    this.#lastRequestNumber += 1;
    const requestNumber = this.#lastRequestNumber;
    const outcome = makeDeferred<GraphOutcome>();
    const pending: PendingGraph = {
      requestNumber,
      group,
      graph,
      startedAtMs: this.#options.clock.nowMs(),
      submittedAtMs: this.#options.clock.nowMs(),
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

  /**
   * Resends the unfinished graphs, as their outcomes may have been lost. If the
   * peer's process was restarted, cancels the jobs of the earlier process.
   */
  #handleReconnect(peer: PeerIdentity): void {
    const { network, coordinator } = this.#options;
    this.#grace.cancel(peer.vmId);
    const knownIncarnation = this.#incarnations.get(peer.vmId);
    if (
      knownIncarnation !== undefined && knownIncarnation !== peer.incarnation
    ) {
      coordinator.cancelOwnedBy(peer.vmId);
    }
    this.#incarnations.set(peer.vmId, peer.incarnation);
    for (const pending of this.#unfinishedAt(peer.vmId)) {
      network.send(
        peer.vmId,
        toRunMessage(pending, this.#options.clock.nowMs()),
      );
    }
  }

  #unfinishedAt(vmId: VmId): PendingGraph[] {
    return [...this.#pending.values()].filter((pending) =>
      pending.coordinator === vmId && !pending.isSettled
    );
  }

  /** @param failedSends Earlier sends that failed as the link was down */
  #submit(pending: PendingGraph, failedSends = 0): void {
    const { network, coordinator } = this.#options;
    pending.coordinator = this.#chooseCoordinator(pending.group);
    pending.submittedAtMs = this.#options.clock.nowMs();
    const isLocal = pending.coordinator === network.self.vmId;
    if (!isLocal) {
      if (
        network.send(
          pending.coordinator,
          toRunMessage(pending, this.#options.clock.nowMs()),
        )
      ) return;
      if (failedSends < MAX_SEND_RETRIES) {
        this.#submitLater(pending, failedSends + 1);
        return;
      }
    }
    pending.coordinator = network.self.vmId;
    this.#selector.recordOwnJob(pending.group, this.#options.clock.nowMs());
    coordinator.submit({
      id: jobId(network.self, pending.requestNumber),
      owner: network.self.vmId,
      graph: graphWithTimeLeft(pending, this.#options.clock.nowMs()),
      onEnded: (outcome) => {
        this.#settle(pending, outcome);
      },
    });
  }

  #submitLater(pending: PendingGraph, failedSends: number): void {
    setTimeout(() => {
      const isPending = this.#pending.has(pending.requestNumber);
      if (isPending && !pending.isSettled) this.#submit(pending, failedSends);
    }, SEND_RETRY_DELAY_MS);
  }

  #chooseCoordinator(group: string): VmId {
    const { network, clock } = this.#options;
    const nowMs = clock.nowMs();
    const coordinator = this.#selector.choose(
      group,
      {
        self: network.self.vmId,
        liveVms: coordinatorCandidates(network.view(nowMs).members),
      },
      nowMs,
    );
    const previous = this.#chosenCoordinators.get(group);
    if (coordinator !== previous) {
      this.#chosenCoordinators.set(group, coordinator);
      this.#options.logger.info("stageCoordinatorChosen", {
        coordinator,
        previous,
      });
    }
    return coordinator;
  }

  /**
   * Notices a frozen or cut-off coordinator in another data centre before its
   * connection or its heartbeats tell.
   */
  #resubmitFromSilentCoordinators(nowMs: number): void {
    const silent = findSilentCoordinators({
      graphs: this.#pending.values(),
      selector: this.#selector,
      self: this.#options.network.self.vmId,
      resumedAtMs: this.#resumedAtMs,
      nowMs,
    });
    for (const vmId of silent) this.#resubmitFrom(vmId);
  }

  /** VMs that accept new work. */
  #liveVms(): VmId[] {
    const { network, clock } = this.#options;
    return network.view(clock.nowMs()).members
      .filter((member) => member.state === "live")
      .map((member) => member.vmId);
  }

  /**
   * Announces the groups that this VM coordinates, or hands them over to a VM
   * that has been active for longer.
   */
  #announce(): void {
    const { network, clock } = this.#options;
    const nowMs = clock.nowMs();
    const wasPaused = nowMs - this.#lastAnnounceAtMs > PAUSE_THRESHOLD_MS;
    this.#lastAnnounceAtMs = nowMs;
    if (wasPaused) {
      this.#selector.forgetOwnActivity();
      this.#resumedAtMs = nowMs;
    }
    this.#resubmitFromSilentCoordinators(nowMs);
    for (
      const { group, activeForMs } of this.#selector.coordinatedGroups(nowMs)
    ) {
      if (this.#chooseCoordinator(group) !== network.self.vmId) {
        this.#handOver();
        continue;
      }
      const others = this.#liveVms()
        .filter((vmId) => vmId !== network.self.vmId);
      network.sendToAll(others, {
        type: "stageCoordinating",
        group,
        activeForMs,
        ...(this.#options.overloadPolicy?.haveServersStatedWorkTime === true
          ? { isWorkTimeStated: true }
          : {}),
      });
    }
  }

  #handOver(): void {
    const { network, clock, coordinator } = this.#options;
    const self = network.view(clock.nowMs()).members
      .find((member) => member.isSelf);
    if (self === undefined || !isCutOff(self)) {
      coordinator.handOverUnstartedJobs();
      return;
    }
    this.#selector.forgetOwnActivity();
    coordinator.handOverJobs();
  }

  #handleRun(
    received: ReceivedPeerMessage<PeerMessage & { type: "stageGraphRun" }>,
  ): void {
    const { from, message } = received;
    const { requestNumber, graph } = message;
    this.#selector.recordOwnJob(message.group, this.#options.clock.nowMs());
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

  #handleEnded(
    received: ReceivedPeerMessage<PeerMessage & { type: "stageGraphEnded" }>,
  ): void {
    const { from, message } = received;
    const pending = this.#pending.get(message.requestNumber);
    if (pending?.coordinator === from.vmId) {
      // May be a duplicate sent after a reconnect: the results may be in use.
      this.#settle(pending, message.outcome);
      return;
    }
    // Outcome from a former coordinator; its results are not needed.
    this.#options.metrics.countDrop("lateResult");
    this.#options.network.send(from.vmId, {
      type: "stageGraphRelease",
      requestNumber: message.requestNumber,
    });
  }

  #settle(pending: PendingGraph, outcome: StageGraphOutcome): void {
    if (pending.isSettled) return;
    if (outcome.kind === "moved") {
      this.#resubmitSoon(pending);
      return;
    }
    pending.isSettled = true;
    if (outcome.kind === "refused") this.#pending.delete(pending.requestNumber);
    pending.settle(outcome);
  }

  /**
   * Deferred to a later turn of the event loop, as the former coordinator is
   * still processing its jobs when it reports the outcome.
   */
  #resubmitSoon(pending: PendingGraph): void {
    this.#options.metrics.countEvent("stageGraphMoved");
    setImmediate(() => {
      if (this.#pending.has(pending.requestNumber)) this.#submit(pending);
    });
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

  #resubmitFromSilentPeers(): void {
    const { network, clock } = this.#options;
    for (const member of network.view(clock.nowMs()).members) {
      if (member.isSelf) continue;
      if (member.state === "silent" || member.state === "gone") {
        this.#resubmitFrom(member.vmId);
      }
    }
  }

  #resubmitFrom(vmId: VmId): void {
    const unfinished = this.#unfinishedAt(vmId);
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
