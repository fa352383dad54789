/**
 * Has the stages of this VM's requests run, by whichever VM coordinates them.
 *
 * All VMs that hear one another choose the same coordinator for a group of
 * stage services. When it falls silent, what it had not finished is given to
 * its successor from the start: a stage's item may be made again.
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
  Received,
} from "../peers/peer_network.js";
import { CoordinatorChoice } from "./coordinator_choice.js";
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

/** How a graph ended, wherever it ran. */
export type GraphEnd = Exclude<StageGraphOutcome, { readonly kind: "moved" }>;

/** A graph that runs, or whose results are in use. */
export interface RunningGraph {
  readonly outcome: Promise<GraphEnd>;
  /** Gives the results back, or gives the graph up. */
  release(): void;
}

interface PendingGraph {
  readonly requestNumber: number;
  /** Names the services that one coordinator runs. */
  readonly group: string;
  readonly graph: StageGraph;
  readonly startedAtMs: number;
  readonly settle: (outcome: GraphEnd) => void;
  coordinator: VmId;
  isSettled: boolean;
}

/** How often a coordinator tells the others that it works. */
const ANNOUNCE_INTERVAL_MS = 300;
/** A reset link is back by then; its coordinator went on meanwhile. */
const RETURN_GRACE_MS = 500;
/** Jobs of an owner that stays away longer are given up. */
const OWNER_GRACE_MS = 1500;
const SEND_RETRY_MS = 50;
/** Together about as long as a broken link is waited for. */
const MOST_SEND_TRIES = 8;
/** A process that got no turn for so long may have been taken over from. */
const PAUSED_AFTER_MS = 1000;

export class StageGraphClient {
  readonly #options: StageGraphClientOptions;
  readonly #pending = new Map<number, PendingGraph>();
  readonly #choice = new CoordinatorChoice();
  readonly #away = new Map<VmId, readonly NodeJS.Timeout[]>();
  readonly #incarnations = new Map<VmId, Incarnation>();
  readonly #timer: NodeJS.Timeout;
  #lastRequestNumber = 0;
  #lastTurnAtMs: number;

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
    network.messages.on("stageCoordinating", ({ from, message }) => {
      this.#choice.noteAnnouncement(message.group, from.vmId, {
        activeForMs: message.activeForMs,
        nowMs: options.clock.nowMs(),
      });
    });
    network.life.on("disconnected", ({ vmId }) => {
      this.#awaitReturn(vmId);
      if (this.#liveVms().length <= 1) this.#choice.forgetOwnActivity();
    });
    network.life.on("connected", (peer) => {
      this.#noteReturn(peer);
    });
    network.life.on("membershipChanged", () => {
      this.#resubmitFromSilent();
    });
    this.#lastTurnAtMs = options.clock.nowMs();
    this.#timer = setInterval(() => {
      this.#announce();
    }, ANNOUNCE_INTERVAL_MS);
  }

  close(): void {
    clearInterval(this.#timer);
    for (const vmId of [...this.#away.keys()]) this.#stopAwaiting(vmId);
  }

  run(graph: StageGraph, group: string): RunningGraph {
    this.#lastRequestNumber += 1;
    const requestNumber = this.#lastRequestNumber;
    const outcome = makeDeferred<GraphEnd>();
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

  /** The peer's link may only have been reset: its jobs and ours go on. */
  #awaitReturn(vmId: VmId): void {
    const own = setTimeout(() => {
      this.#resubmitFrom(vmId);
    }, RETURN_GRACE_MS);
    const theirs = setTimeout(() => {
      this.#options.coordinator.cancelOwnedBy(vmId);
    }, OWNER_GRACE_MS);
    this.#stopAwaiting(vmId);
    this.#away.set(vmId, [own, theirs]);
  }

  #stopAwaiting(vmId: VmId): void {
    for (const timer of this.#away.get(vmId) ?? []) clearTimeout(timer);
    this.#away.delete(vmId);
  }

  /** Asks again for what is unfinished: its outcome may have been lost. */
  #noteReturn(peer: PeerIdentity): void {
    const { network, coordinator } = this.#options;
    this.#stopAwaiting(peer.vmId);
    const known = this.#incarnations.get(peer.vmId);
    if (known !== undefined && known !== peer.incarnation) {
      coordinator.cancelOwnedBy(peer.vmId);
    }
    this.#incarnations.set(peer.vmId, peer.incarnation);
    for (const pending of this.#unfinishedAt(peer.vmId)) {
      network.send(peer.vmId, this.#runMessage(pending));
    }
  }

  #unfinishedAt(vmId: VmId): PendingGraph[] {
    return [...this.#pending.values()].filter((pending) =>
      pending.coordinator === vmId && !pending.isSettled
    );
  }

  #runMessage(
    pending: PendingGraph,
  ): PeerMessage & { readonly type: "stageGraphRun" } {
    const { requestNumber, group } = pending;
    const graph = this.#graphNow(pending);
    return { type: "stageGraphRun", requestNumber, group, graph };
  }

  /** The graph with the times that are left. */
  #graphNow(pending: PendingGraph): StageGraph {
    const spentMs = this.#options.clock.nowMs() - pending.startedAtMs;
    return {
      ...pending.graph,
      objectiveInMs: pending.graph.objectiveInMs - spentMs,
      deadlineInMs: pending.graph.deadlineInMs - spentMs,
    };
  }

  /** @param tries Sends that failed before, as the link was just broken */
  #submit(pending: PendingGraph, tries = 0): void {
    const { network, coordinator } = this.#options;
    pending.coordinator = this.#chooseCoordinator(pending.group);
    const isOwn = pending.coordinator === network.self.vmId;
    if (!isOwn) {
      if (network.send(pending.coordinator, this.#runMessage(pending))) return;
      if (tries < MOST_SEND_TRIES) {
        this.#submitLater(pending, tries + 1);
        return;
      }
    }
    pending.coordinator = network.self.vmId;
    this.#choice.noteOwnJob(pending.group, this.#options.clock.nowMs());
    coordinator.submit({
      id: jobId(network.self, pending.requestNumber),
      owner: network.self.vmId,
      graph: this.#graphNow(pending),
      onEnded: (outcome) => {
        this.#settle(pending, outcome);
      },
    });
  }

  #submitLater(pending: PendingGraph, tries: number): void {
    setTimeout(() => {
      const isOpen = this.#pending.has(pending.requestNumber);
      if (isOpen && !pending.isSettled) this.#submit(pending, tries);
    }, SEND_RETRY_MS);
  }

  #chooseCoordinator(group: string): VmId {
    const { network, clock } = this.#options;
    return this.#choice.choose(
      group,
      { self: network.self.vmId, liveVms: this.#liveVms() },
      clock.nowMs(),
    );
  }

  /** VMs that take new work. */
  #liveVms(): VmId[] {
    const { network, clock } = this.#options;
    return network.view(clock.nowMs()).members
      .filter((member) => member.state === "live")
      .map((member) => member.vmId);
  }

  /** Tells the others what this VM coordinates, or leaves it to an older one. */
  #announce(): void {
    const { network, clock, coordinator } = this.#options;
    const nowMs = clock.nowMs();
    const isPaused = nowMs - this.#lastTurnAtMs > PAUSED_AFTER_MS;
    this.#lastTurnAtMs = nowMs;
    if (isPaused) this.#choice.forgetOwnActivity();
    for (const { group, activeForMs } of this.#choice.ownGroups(nowMs)) {
      if (this.#chooseCoordinator(group) !== network.self.vmId) {
        coordinator.handOver();
        continue;
      }
      for (const vmId of this.#liveVms()) {
        if (vmId === network.self.vmId) continue;
        network.send(vmId, { type: "stageCoordinating", group, activeForMs });
      }
    }
  }

  #serve(received: Received<PeerMessage & { type: "stageGraphRun" }>): void {
    const { from, message } = received;
    const { requestNumber, graph } = message;
    this.#choice.noteOwnJob(message.group, this.#options.clock.nowMs());
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
    if (pending?.coordinator === from.vmId) {
      // Told again when the link came back: the results may be in use.
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
    if (outcome.kind === "moved") {
      this.#resubmitSoon(pending);
      return;
    }
    pending.isSettled = true;
    if (outcome.kind === "refused") this.#pending.delete(pending.requestNumber);
    pending.settle(outcome);
  }

  /** Not in the same turn: the former coordinator is in the middle of it. */
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

/** Numbers start anew with each process life of the owner. */
function jobId(owner: PeerIdentity, requestNumber: number): string {
  return `${owner.vmId}/${owner.incarnation}/${requestNumber}`;
}
