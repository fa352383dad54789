/**
 * A fleet of VMs during a rollout in virtual time, with VMs that are killed,
 * frozen or partitioned, and a store that is unavailable or loses responses.
 *
 * @module
 */

import {
  type BackendServerId,
  type DataCentreName,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import { rankByRendezvous } from "../../peers/rendezvous.js";
import {
  choosePermit,
  type HeldPermit,
  PERMIT_TTL_MS,
} from "../held_permits.js";
import type { RolloutPhase } from "../plan_rollout.js";
import type { VersionSide } from "../rollout_observations.js";
import {
  countCalls,
  type EndedCall,
  keyOf,
  type SimulatedCall,
} from "./count_calls.js";
import {
  CANDIDATE_SERVERS,
  DURATION_MS,
  ROUTES,
  SimulatedOwner,
  type SimulatedStore,
  type VmReport,
} from "./simulated_owner.js";
import type { Random, SimulatedFault } from "./simulated_versions.js";

const VM_COUNT = 84;
const TICK_MS = 50;
const REPORT_MS = 250;
/** Time after which a silent VM isn't a member any more. */
const DETECTION_MS = 1000;
/** The watch tells VMs of a status after this time. */
const WATCH_MS = 300;
const NEW_SERVERS_FROM_MS = 1000;

export interface Disturbance {
  readonly kind: "kill" | "freeze" | "partition" | "restart" | "store" | "loss";
  readonly atMs: number;
  readonly untilMs: number;
  readonly concerns: (vm: number, owner: VmId | undefined) => boolean;
}

interface Permit extends HeldPermit {
  readonly owner: SimulatedOwner;
}

interface Call extends EndedCall {
  readonly isBad: boolean;
}

interface Vm {
  readonly id: VmId;
  readonly index: number;
  readonly dataCentre: DataCentreName;
  unreachableSinceMs: number | undefined;
  isRunning: boolean;
  incarnation: number;
  group: number;
  phase: RolloutPhase;
  permits: Permit[];
  exposed: readonly BackendServerId[];
  calls: Call[];
  owner: SimulatedOwner | undefined;
}

export interface FleetOutcome {
  readonly phase: RolloutPhase;
  readonly reasons: readonly string[];
  readonly requests: number;
  readonly exposed: number;
  /** Latest request to the candidate after its 50th bad response. */
  readonly lastAfterFiftiethBadMs: number;
}

export class SimulatedFleet {
  readonly #random: Random;
  readonly #faults: readonly SimulatedFault[];
  readonly #disturbances: readonly Disturbance[];
  readonly #store: SimulatedStore = {
    isUp: true,
    losesResponses: false,
    revision: 1,
    reserved: 0,
    serviceRequests: 0,
    phase: "observing",
    writer: undefined,
    evidence: [],
  };
  readonly #vms: Vm[];
  readonly #allCalls: Call[] = [];
  #finalSinceMs = Infinity;

  constructor(options: {
    readonly random: Random;
    readonly faults: readonly SimulatedFault[];
    readonly disturbances: readonly Disturbance[];
  }) {
    this.#random = options.random;
    this.#faults = options.faults;
    this.#disturbances = options.disturbances;
    this.#vms = Array.from({ length: VM_COUNT }, (_, index) => ({
      id: toId<VmId>(`vm-${index}`),
      index,
      dataCentre: toId<DataCentreName>(`dc-${index % 3}`),
      unreachableSinceMs: undefined,
      isRunning: true,
      incarnation: 0,
      group: 0,
      phase: "observing",
      permits: [],
      exposed: [],
      calls: [],
      owner: undefined,
    }));
  }

  run(): FleetOutcome {
    for (let nowMs = 0; nowMs < DURATION_MS + 2000; nowMs += TICK_MS) {
      this.#disturb(nowMs);
      for (const vm of this.#vms) {
        if (vm.isRunning) this.#serve(vm, nowMs);
      }
      if (nowMs % REPORT_MS === 0) this.#report(nowMs);
      this.#watch(nowMs);
    }
    return this.#outcome();
  }

  #disturb(nowMs: number): void {
    for (const { kind, atMs, untilMs, concerns } of this.#disturbances) {
      const starts = nowMs === atMs;
      if (!starts && nowMs !== untilMs) continue;
      if (kind === "store") this.#store.isUp = !starts;
      if (kind === "loss") this.#store.losesResponses = starts;
      const owner = this.#ownerOf(this.#vms[0], nowMs)?.id;
      for (const vm of this.#vms) {
        if (!concerns(vm.index, owner) && starts) continue;
        if (kind === "partition") vm.group = starts ? 1 : 0;
        if (kind === "freeze") this.#setRunning(vm, !starts, nowMs);
        if (kind === "kill" || kind === "restart") {
          this.#setRunning(vm, !starts, nowMs);
          if (starts) this.#reset(vm);
        }
      }
    }
  }

  #setRunning(vm: Vm, isRunning: boolean, nowMs: number): void {
    vm.isRunning = isRunning;
    vm.unreachableSinceMs = isRunning ? undefined : nowMs;
  }

  /** A new process knows what the store knows. */
  #reset(vm: Vm): void {
    vm.incarnation += 1;
    vm.phase = this.#store.phase;
    vm.permits = [];
    vm.calls = [];
    vm.owner = undefined;
  }

  /** The VM that this VM takes for the owner. */
  #ownerOf(vm: Vm | undefined, nowMs: number): Vm | undefined {
    const known = this.#vms.filter((other) =>
      other.group === vm?.group && (other.unreachableSinceMs === undefined ||
        nowMs - other.unreachableSinceMs < DETECTION_MS)
    );
    const [first] = rankByRendezvous("service", known.map(({ id }) => id));
    return known.find(({ id }) => id === first);
  }

  #serve(vm: Vm, nowMs: number): void {
    if (!this.#random.chance(TICK_MS / 1000)) return;
    const route = ROUTES[this.#random.below(ROUTES.length)] ?? "a";
    const side = this.#chooseSide(vm, route, nowMs);
    const servers = vm.phase === "observing" && vm.exposed.length > 0
      ? vm.exposed
      : CANDIDATE_SERVERS.map(({ id }) => id);
    const server = servers[this.#random.below(servers.length)];
    if (server === undefined) return;
    const { dataCentre } = CANDIDATE_SERVERS.find(({ id }) => id === server) ??
      vm;
    const call = this.#makeCall({
      side,
      route,
      server,
      dataCentre: side === "candidate" ? dataCentre : vm.dataCentre,
      sentAtMs: nowMs,
    });
    vm.calls.push(call);
    this.#allCalls.push(call);
  }

  #chooseSide(vm: Vm, route: string, nowMs: number): VersionSide {
    if (vm.phase === "rolledBack") return "current";
    if (vm.phase !== "observing") return "candidate";
    const permit = choosePermit(vm.permits, route, nowMs);
    if (permit === undefined || nowMs < NEW_SERVERS_FROM_MS) return "current";
    vm.permits.splice(vm.permits.indexOf(permit), 1);
    return "candidate";
  }

  #makeCall(call: SimulatedCall): Call {
    let durationMs = 300 * this.#random.spread(0.25);
    let isBad = false;
    let isFailed = false;
    for (const fault of this.#faults) {
      if (call.side === "current" || call.sentAtMs < fault.fromMs) continue;
      if (!fault.applies(call) || !this.#random.chance(fault.share)) continue;
      isBad = true;
      if (fault.kind === "slow") durationMs *= fault.factor;
      else isFailed = true;
    }
    return { ...call, key: keyOf(call), durationMs, isBad, isFailed };
  }

  #report(nowMs: number): void {
    const running = this.#vms.filter(({ isRunning }) => isRunning);
    const owners = new Map(
      running.map((vm) => [vm, this.#ownerOf(vm, nowMs)]),
    );
    for (const owner of running) {
      const vms = running.filter((vm) => owners.get(vm) === owner);
      if (vms.length === 0) owner.owner = undefined;
      if (vms.length === 0) continue;
      if (owner.owner === undefined) {
        if (!this.#store.isUp) continue;
        owner.owner = new SimulatedOwner(this.#store);
      }
      const { owner: decider } = owner;
      const reports = vms.map((vm) => makeReport(vm, decider, nowMs));
      const { phase, grants, exposed } = decider.decide(reports, nowMs);
      for (const vm of vms) {
        vm.exposed = exposed;
        advance(vm, phase);
      }
      for (const { vm: id, route, count } of grants) {
        const vm = vms.find((item) => item.id === id);
        for (let i = 0; i < count; i++) {
          vm?.permits.push({
            route,
            owner: decider,
            receivedAtMs: nowMs,
          });
        }
      }
    }
  }

  #watch(nowMs: number): void {
    const { phase } = this.#store;
    if (phase !== "completed" && phase !== "rolledBack") return;
    this.#finalSinceMs = Math.min(this.#finalSinceMs, nowMs);
    if (nowMs < this.#finalSinceMs + WATCH_MS || !this.#store.isUp) return;
    for (const vm of this.#vms) if (vm.isRunning) vm.phase = phase;
  }

  #outcome(): FleetOutcome {
    const exposed = this.#allCalls.filter(({ side, sentAtMs }) =>
      side === "candidate" && sentAtMs < DURATION_MS
    );
    const badAtMs = exposed.filter(({ isBad }) => isBad)
      .map(({ sentAtMs, durationMs }) => sentAtMs + durationMs)
      .sort((a, b) => a - b);
    const fiftiethMs = badAtMs[49] ?? Infinity;
    const lastMs = Math.max(
      0,
      ...this.#allCalls.filter(({ side }) => side === "candidate")
        .map(({ sentAtMs }) => sentAtMs),
    );
    return {
      phase: this.#store.phase,
      reasons: this.#vms.flatMap(({ owner }) => owner?.reason ?? []),
      requests: this.#allCalls.filter(({ sentAtMs }) => sentAtMs < DURATION_MS)
        .length,
      exposed: exposed.length,
      lastAfterFiftiethBadMs: Math.max(0, lastMs - fiftiethMs),
    };
  }
}

/** A shift is adopted from the owner, a final phase is kept. */
function advance(vm: Vm, phase: RolloutPhase): void {
  if (vm.phase === "completed" || vm.phase === "rolledBack") return;
  if (phase !== "observing") vm.phase = phase;
}

function makeReport(
  vm: Vm,
  owner: SimulatedOwner,
  nowMs: number,
): VmReport {
  const { calls, phase } = vm;
  const startMs = nowMs - PERMIT_TTL_MS;
  const expired = vm.permits.filter((it) => it.receivedAtMs <= startMs);
  vm.permits = vm.permits.filter((it) => it.receivedAtMs > startMs);
  return {
    vm: vm.id,
    incarnation: vm.incarnation,
    counts: countCalls(calls, nowMs),
    requests: calls.length,
    inFlightAtCurrent:
      calls.filter((call) =>
        call.side === "current" && call.sentAtMs + call.durationMs > nowMs
      ).length,
    phase,
    demands: ROUTES.map((route) => ({
      vm: vm.id,
      route,
      expected: PERMIT_TTL_MS / 1000 / ROUTES.length,
      held: vm.permits.filter((permit) => permit.route === route).length,
    })),
    returned: expired.filter((permit) => permit.owner === owner).length,
  };
}
