/**
 * A fleet of VMs in simulated time that sends requests to one server with a
 * rate limit. The VMs can be partitioned, paused, killed and restarted; the
 * server stays reachable for all of them.
 *
 * @module
 */

import {
  type BackendServerId,
  type DataCentreName,
  type Incarnation,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import type {
  PeerMessage,
  PeerMessageType,
} from "@sassafrasstage/protocol/peer_messages";
import Emittery from "emittery";
import type { MockTimers } from "node:test";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { createLogger } from "../../observability/logger.js";
import { Metrics } from "../../observability/metrics.js";
import type {
  Member,
  MembershipView,
  MemberState,
  PeerIdentity,
  PeerLifecycleEvents,
  PeerMessageEvents,
  PeerNetwork,
} from "../../peers/peer_network.js";
import type { RateLimitStatement } from "../rate_limit_statement.js";
import { ServerRateLimits } from "../server_rate_limits.js";

const SERVER = toId<BackendServerId>("engine-1");
const STEP_MS = 5;
const LINK_DELAY_MS = 5;
const HEARTBEAT_INTERVAL_MS = 200;
/** Interval at which a VM checks which of the others are silent. */
const VIEW_INTERVAL_MS = 100;
const RESPONSE_DELAY_MS = 100;
/** Time without a message after which a VM counts as silent. */
const SILENT_AFTER_MS = 1000;
const MS_PER_SECOND = 1000;
const DATA_CENTRES = 3;

export interface SimulatedFleetOptions {
  readonly vmCount: number;
  /** Requests per second that the clients of all VMs send to the server. */
  readonly requestsPerSecond: number;
  readonly seed: number;
  readonly timers: MockTimers;
}

export class SimulatedVm implements PeerNetwork {
  readonly self: PeerIdentity;
  readonly messages = new Emittery<PeerMessageEvents>();
  readonly lifecycle = new Emittery<PeerLifecycleEvents>();
  readonly limits: ServerRateLimits;
  /** VMs in different partitions don't hear each other. */
  partition = 0;
  isPaused = false;
  /** Messages that arrived during the pause. */
  readonly pausedMessages: (() => void)[] = [];
  readonly heardAtMs = new Map<VmId, number>();
  readonly #fleet: SimulatedFleet;
  #view: MembershipView = { members: [] };
  #viewedAtMs = Number.NEGATIVE_INFINITY;
  #signature = "";

  constructor(fleet: SimulatedFleet, name: string, dataCentre: string) {
    this.#fleet = fleet;
    this.self = {
      vmId: toId<VmId>(name),
      incarnation: toId<Incarnation>(`${name}-1`),
      dataCentre: toId<DataCentreName>(dataCentre),
    };
    this.limits = new ServerRateLimits({
      network: this,
      clock: { nowMs: () => fleet.nowMs },
      metrics: new Metrics(),
      logger: createLogger("error", {}),
    });
  }

  send(to: VmId, message: PeerMessage): boolean {
    return this.#fleet.deliver(this, to, message);
  }

  receive(from: PeerIdentity, message: PeerMessage): void {
    // The compiler can't infer that the message matches its type.
    const event = { from, message } as PeerMessageEvents[PeerMessageType];
    void this.messages.emit(message.type, event);
  }

  view(nowMs: number): MembershipView {
    if (nowMs - this.#viewedAtMs < VIEW_INTERVAL_MS) return this.#view;
    this.#viewedAtMs = nowMs;
    const members = this.#fleet.vms.map((vm): Member => ({
      vmId: vm.self.vmId,
      dataCentre: vm.self.dataCentre,
      state: this.#stateOf(vm, nowMs),
      isSelf: vm === this,
      generation: 0,
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

export class SimulatedFleet {
  nowMs = 0;
  readonly vms: SimulatedVm[] = [];
  /** Times of all requests that the server has received. */
  readonly arrivalsMs: number[] = [];
  /** What the server states in its responses. */
  statement: RateLimitStatement = { kind: "unlimited" };
  readonly #options: SimulatedFleetOptions;
  readonly #random: RandomGenerator;

  constructor(options: SimulatedFleetOptions) {
    this.#options = options;
    this.#random = xoroshiro128plus(options.seed);
    for (let n = 0; n < options.vmCount; n++) this.#startVm(n);
  }

  /** Lets the time pass while the clients send requests. */
  async run(durationMs: number): Promise<void> {
    const endsAtMs = this.nowMs + durationMs;
    while (this.nowMs < endsAtMs) {
      this.nowMs += STEP_MS;
      if (this.nowMs % HEARTBEAT_INTERVAL_MS === 0) this.#exchangeHeartbeats();
      this.#sendRequests();
      this.#options.timers.tick(STEP_MS);
      // Lets all pending promises settle; immediates aren't simulated.
      await new Promise(setImmediate);
    }
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

  /** The VM that grants the requests, as seen by the first VM. */
  ownerIndex(): number {
    const owner = this.vms[0]?.limits.ownerOf(SERVER);
    return this.vms.findIndex((vm) => vm.self.vmId === owner);
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

  /** Replaces the VM's process by one that knows nothing. */
  restart(index: number): void {
    this.#startVm(index);
  }

  /** The largest number of requests within any span of this length. */
  maxArrivals(spanMs: number, fromMs: number): number {
    const times = this.arrivalsMs.filter((timeMs) => timeMs >= fromMs);
    return Math.max(
      0,
      ...times.map((startMs) =>
        times.filter((timeMs) => timeMs >= startMs && timeMs < startMs + spanMs)
          .length
      ),
    );
  }

  #startVm(index: number): void {
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
      void other.lifecycle.emit("connected", vm.self);
      void vm.lifecycle.emit("connected", other.self);
    }
  }

  #exchangeHeartbeats(): void {
    for (const from of this.vms) {
      if (from.isPaused) continue;
      for (const to of this.vms) {
        if (to.isPaused || !areConnected(from, to)) continue;
        to.heardAtMs.set(from.self.vmId, this.nowMs);
      }
    }
  }

  #sendRequests(): void {
    const { requestsPerSecond, vmCount } = this.#options;
    const probability = requestsPerSecond * STEP_MS / MS_PER_SECOND / vmCount;
    for (const vm of this.vms) {
      if (vm.isPaused || uniformFloat64(this.#random) >= probability) continue;
      void this.#sendRequest(vm);
    }
  }

  async #sendRequest(vm: SimulatedVm): Promise<void> {
    if (vm.limits.availableInMs(SERVER, this.nowMs) > 0) return;
    if (!await vm.limits.acquire(SERVER)) return;
    const startedAtMs = this.nowMs;
    this.arrivalsMs.push(startedAtMs);
    const { statement } = this;
    setTimeout(() => {
      vm.limits.recordStatement(SERVER, statement, {
        startedAtMs,
        request: undefined,
      });
    }, RESPONSE_DELAY_MS);
  }
}

function areConnected(a: SimulatedVm, b: SimulatedVm): boolean {
  return a.partition === b.partition;
}
