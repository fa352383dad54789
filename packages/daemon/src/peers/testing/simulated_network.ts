/**
 * Connects VMs in simulated time. The VMs can be partitioned, paused and
 * replaced.
 *
 * @module
 */

import {
  type DataCentreName,
  type Incarnation,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import type {
  HeartbeatMessage,
  PeerMessage,
  PeerMessageType,
} from "@sassafrasstage/protocol/peer_messages";
import type { PoisonPartNews } from "@sassafrasstage/protocol/poison_parts";
import type { BegunStreams } from "@sassafrasstage/protocol/stream_origin";
import Emittery from "emittery";
import type { MockTimers } from "node:test";
import type {
  TakeBegunStreams,
  TakePoisonPartNews,
} from "../heartbeat_content.js";
import { isFullMesh } from "../link_policy.js";
import type {
  Member,
  MembershipView,
  MemberState,
  PeerIdentity,
  PeerLifecycleEvents,
  PeerMessageEvents,
  PeerNetwork,
} from "../peer_network.js";

/** Length of a step of the simulated time. */
export const STEP_MS = 5;
const LINK_DELAY_MS = 5;
export const HEARTBEAT_INTERVAL_MS = 200;
/** Interval at which a VM checks which of the others are silent. */
const VIEW_INTERVAL_MS = 100;
/** Time without a message after which a VM counts as silent. */
const SILENT_AFTER_MS = 1000;
const DATA_CENTRES = 3;

export class SimulatedVm implements PeerNetwork {
  readonly self: PeerIdentity;
  readonly messages = new Emittery<PeerMessageEvents>();
  readonly lifecycle = new Emittery<PeerLifecycleEvents>();
  /** VMs in different partitions don't hear each other. */
  partition = 0;
  isPaused = false;
  /** Messages that arrived during the pause. */
  readonly pausedMessages: (() => void)[] = [];
  readonly heardAtMs = new Map<VmId, number>();
  knowsRollouts = false;
  takeBegunStreams: TakeBegunStreams = () => [];
  takePoisonPartNews: TakePoisonPartNews = () => undefined;
  readonly #network: SimulatedNetwork;
  #view: MembershipView = { members: [] };
  #viewedAtMs = Number.NEGATIVE_INFINITY;
  #signature = "";

  constructor(network: SimulatedNetwork, name: string, dataCentre: string) {
    this.#network = network;
    this.self = {
      vmId: toId<VmId>(name),
      incarnation: toId<Incarnation>(`${name}-1`),
      dataCentre: toId<DataCentreName>(dataCentre),
    };
  }

  send(to: VmId, message: PeerMessage): boolean {
    return this.#network.deliver(this, to, message);
  }

  sendToAll(to: readonly VmId[], message: PeerMessage): void {
    for (const vmId of to) this.send(vmId, message);
  }

  setKnowsRollouts(): void {
    this.knowsRollouts = true;
  }

  setBegunStreams(take: TakeBegunStreams): void {
    this.takeBegunStreams = take;
  }

  setPoisonPartNews(take: TakePoisonPartNews): void {
    this.takePoisonPartNews = take;
  }

  receive(from: PeerIdentity, message: PeerMessage): void {
    // The compiler can't infer that the message matches its type.
    const event = { from, message } as PeerMessageEvents[PeerMessageType];
    void this.messages.emit(message.type, event);
  }

  view(nowMs: number): MembershipView {
    if (nowMs - this.#viewedAtMs < VIEW_INTERVAL_MS) return this.#view;
    this.#viewedAtMs = nowMs;
    const members = this.#network.vms.map((vm): Member => ({
      vmId: vm.self.vmId,
      dataCentre: vm.self.dataCentre,
      state: this.#stateOf(vm, nowMs),
      isSelf: vm === this,
      generation: 0,
      knowsRollouts: vm.knowsRollouts,
    }));
    const signature = members.map(({ state }) => state).join();
    if (signature === this.#signature) return this.#view;
    this.#signature = signature;
    this.#view = { members };
    void this.lifecycle.emit("membershipChanged", this.#view);
    return this.#view;
  }

  #stateOf(vm: SimulatedVm, nowMs: number): MemberState {
    if (vm === this) return "live";
    const heardAtMs = this.heardAtMs.get(vm.self.vmId) ?? 0;
    return nowMs - heardAtMs > SILENT_AFTER_MS ? "silent" : "live";
  }
}

export class SimulatedNetwork {
  nowMs = 0;
  readonly vms: SimulatedVm[] = [];
  readonly #timers: MockTimers;

  constructor(timers: MockTimers) {
    this.#timers = timers;
  }

  /** Starts a VM, or replaces the one with this index by one without state. */
  startVm(index: number): SimulatedVm {
    const vm = new SimulatedVm(
      this,
      `vm-${index}`,
      `dc-${index % DATA_CENTRES}`,
    );
    this.vms[index] = vm;
    for (const other of this.vms) {
      if (other === vm) continue;
      vm.heardAtMs.set(other.self.vmId, this.nowMs);
      other.heardAtMs.set(vm.self.vmId, this.nowMs);
    }
    return vm;
  }

  /** Reports the connections of a started VM. */
  announceConnections(vm: SimulatedVm): void {
    for (const other of this.vms) {
      if (other === vm) continue;
      void other.lifecycle.emit("connected", vm.self);
      void vm.lifecycle.emit("connected", other.self);
    }
  }

  /** Lets one step of the time pass. */
  async step(): Promise<void> {
    this.nowMs += STEP_MS;
    if (this.nowMs % HEARTBEAT_INTERVAL_MS === 0) this.#exchangeHeartbeats();
    this.#timers.tick(STEP_MS);
    // Lets all pending promises settle; immediates aren't simulated.
    await new Promise(setImmediate);
  }

  deliver(from: SimulatedVm, to: VmId, message: PeerMessage): boolean {
    const receiver = this.vms.find((vm) => vm.self.vmId === to);
    if (receiver === undefined) return false;
    setTimeout(() => {
      if (!areConnected(from, receiver)) return;
      if (receiver.isPaused) {
        receiver.pausedMessages.push(() => {
          receiver.receive(from.self, message);
        });
      } else receiver.receive(from.self, message);
    }, LINK_DELAY_MS);
    return true;
  }

  pause(index: number): void {
    const vm = this.vms[index];
    if (vm !== undefined) vm.isPaused = true;
  }

  resume(index: number): void {
    const vm = this.vms[index];
    if (vm === undefined) return;
    vm.isPaused = false;
    for (const deliver of vm.pausedMessages.splice(0)) deliver();
  }

  #exchangeHeartbeats(): void {
    for (const from of this.vms) {
      if (from.isPaused) continue;
      const begunStreams = from.takeBegunStreams(this.nowMs);
      const poisonParts = from.takePoisonPartNews(this.nowMs);
      const hasNews = begunStreams.length > 0 || poisonParts !== undefined;
      for (const to of this.vms) {
        if (to.isPaused || !areConnected(from, to)) continue;
        to.heardAtMs.set(from.self.vmId, this.nowMs);
        if (to === from || !hasNews) continue;
        if (this.#hasStandingLink(from, to)) {
          from.send(to.self.vmId, makeHeartbeat(begunStreams, poisonParts));
        }
      }
    }
  }

  #hasStandingLink(a: SimulatedVm, b: SimulatedVm): boolean {
    return isFullMesh(this.vms.length) ||
      a.self.dataCentre === b.self.dataCentre;
  }
}

function makeHeartbeat(
  begunStreams: readonly BegunStreams[],
  poisonParts: PoisonPartNews | undefined,
): HeartbeatMessage {
  return {
    type: "heartbeat",
    sequence: 0,
    generation: 0,
    leaving: false,
    ownedPools: [],
    begunStreams,
    ...(poisonParts !== undefined && { poisonParts }),
  };
}

function areConnected(a: SimulatedVm, b: SimulatedVm): boolean {
  return a.partition === b.partition;
}
