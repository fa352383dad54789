/**
 * A fleet of VMs in simulated time that rolls a service out to another version.
 * The servers and the store stay reachable for all VMs unless a test says so.
 *
 * @module
 */

import {
  type BackendServerId,
  type DataCentreName,
  type ServiceName,
  type SoftwareVersion,
  toId,
} from "@sassafrasstage/protocol/ids";
import type { StoredObject } from "@sassafrasstage/protocol/platform_objects";
import type { MockTimers } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { createLogger } from "../../observability/logger.js";
import { Metrics } from "../../observability/metrics.js";
import {
  SimulatedNetwork,
  type SimulatedVm,
  STEP_MS,
} from "../../peers/testing/simulated_network.js";
import type { ServerCandidate } from "../../placement/choose_server.js";
import { ServerDirectory } from "../../placement/server_directory.js";
import {
  type MemoryConnection,
  MemoryObjectStore,
} from "../../platform/testing/memory_object_store.js";
import { makeRateLimits } from "../../rate_limits/testing/make_rate_limits.js";
import { ServerRegister } from "../../register/server_register.js";
import { makeReport } from "../../testing/stage_samples.js";
import type { RolloutGate, ServerAdmission } from "../rollout_gate.js";
import { Rollouts } from "../rollouts.js";
import { ROLLOUT_FORMAT } from "./rollout_format.js";

export const SERVICE = toId<ServiceName>("registry");
export const CURRENT = toId<SoftwareVersion>("v1");
export const CANDIDATE = toId<SoftwareVersion>("v2");
export const EXPOSURE = { share: 0.1, slack: 50, rollbackMs: 5000 };
export const DURATION_MS = 12_000;
const KEY = `rollouts/${SERVICE}`;
const ROUTE = "lookup";
const SERVERS_PER_VERSION = 6;
const DATA_CENTRES = 3;
const WORK_MS = 40;
const MS_PER_SECOND = 1000;
/** Interval at which VMs learn of changes in the store. */
const WATCH_INTERVAL_MS = 50;
/** As in the daemon: after that, what a returned store lacks is dropped. */
const RESTORATION_MS = 3000;

/** How the servers of a version respond. */
export interface VersionBehaviour {
  readonly failedShare: number;
  readonly slowness: number;
}

export const GOOD: VersionBehaviour = { failedShare: 0, slowness: 1 };

export interface SentRequest {
  readonly atMs: number;
  readonly vm: number;
  readonly version: SoftwareVersion;
}

interface Vm {
  readonly network: SimulatedVm;
  readonly store: MemoryConnection;
  readonly register: ServerRegister;
  readonly rollouts: Rollouts;
  readonly directory: ServerDirectory;
  readonly known: Map<string, StoredObject>;
  knownEra: number;
  isFrozen: boolean;
}

export interface SimulatedRolloutOptions {
  readonly vmCount: number;
  /** Requests per second that the clients of all VMs send. */
  readonly requestsPerSecond: number;
  readonly seed: number;
  readonly timers: MockTimers;
}

export class SimulatedRollout {
  readonly network: SimulatedNetwork;
  readonly store = new MemoryObjectStore();
  readonly vms: Vm[] = [];
  readonly sent: SentRequest[] = [];
  /** Times of the candidate's bad responses. */
  readonly badTimesMs: number[] = [];
  /** Requests for which there was no server. */
  refused = 0;
  behaviour: VersionBehaviour = GOOD;
  requestedAtMs = Infinity;
  #era = 0;
  #hasCandidate = false;
  readonly #options: SimulatedRolloutOptions;
  readonly #random: RandomGenerator;
  readonly #rateLimits = makeRateLimits();

  constructor(options: SimulatedRolloutOptions) {
    this.#options = options;
    this.#random = xoroshiro128plus(options.seed);
    this.network = new SimulatedNetwork(options.timers);
    for (let n = 0; n < options.vmCount; n++) this.restart(n);
  }

  /** Starts the VM's process, which knows nothing of an earlier one. */
  restart(index: number): void {
    this.vms[index]?.rollouts.close();
    const network = this.network.startVm(index);
    const clock = { nowMs: () => this.network.nowMs };
    const common = {
      clock,
      metrics: new Metrics(),
      logger: createLogger("error", {}),
    };
    const register: ServerRegister = new ServerRegister((change) => {
      rollouts.handleServerChange(change);
    });
    const store = this.store.connect();
    const rollouts: Rollouts = new Rollouts({
      ...common,
      network,
      store,
      register,
      objectFormat: ROLLOUT_FORMAT,
      exposure: EXPOSURE,
      served: { recorded: () => ({ versions: [], isComplete: false }) },
      era: () => vm.knownEra,
      repeat: (run, intervalMs) => {
        const timer = setInterval(() => {
          if (!vm.isFrozen) run();
        }, intervalMs);
        return () => {
          clearInterval(timer);
        };
      },
    });
    const directory = new ServerDirectory({
      clock,
      register,
      rollouts: rollouts.gate,
      rateLimits: this.#rateLimits,
      limits: () => ({
        retries: { windowMs: 10_000, ratio: 1, slack: 10 },
        coldOverage: 1,
        coldSlack: 0,
      }),
      findService: () => undefined,
      vmCount: () => this.#options.vmCount,
    });
    const vm: Vm = {
      network,
      store,
      register,
      rollouts,
      directory,
      known: new Map(),
      knownEra: this.#era,
      isFrozen: false,
    };
    this.vms[index] = vm;
    this.#report(vm, CURRENT);
    if (this.#hasCandidate) this.#report(vm, CANDIDATE);
    this.network.announceConnections(network);
  }

  /** Stops the VM for good. */
  kill(index: number): void {
    this.freeze(index);
    this.vms[index]?.rollouts.close();
  }

  freeze(index: number): void {
    const vm = this.vms[index];
    if (vm !== undefined) vm.isFrozen = true;
    this.network.pause(index);
  }

  thaw(index: number): void {
    const vm = this.vms[index];
    if (vm !== undefined) vm.isFrozen = false;
    this.network.resume(index);
  }

  /** The operator requests a rollout and starts the servers of the candidate. */
  request(to = CANDIDATE): void {
    this.requestedAtMs = this.network.nowMs;
    this.store.put(KEY, { service: SERVICE, to, durationMs: DURATION_MS });
    this.#hasCandidate = true;
    for (const vm of this.vms) this.#report(vm, CANDIDATE);
  }

  withdraw(): void {
    this.store.delete(KEY);
  }

  /** Whether new work of the VMs may go to servers of the version. */
  admissions(version: SoftwareVersion): Set<ServerAdmission> {
    return new Set(
      this.vms.flatMap(({ register, rollouts }) =>
        register.usableServers(SERVICE)
          .filter(({ softwareVersion }) => softwareVersion === version)
          .map((server) =>
            rollouts.gate.admits(server, { isContinuation: false })
          )
      ),
    );
  }

  get status(): { readonly state?: string; readonly to?: string } {
    return this.store.objects.get(KEY)?.status ?? {};
  }

  /** What the store holds now, for `returnStore`. */
  copyStore(): Map<string, StoredObject> {
    return new Map(this.store.objects);
  }

  /** The store comes back from an older copy. */
  returnStore(copy: ReadonlyMap<string, StoredObject>): void {
    this.#era += 1;
    this.store.objects.clear();
    for (const [key, object] of copy) this.store.objects.set(key, object);
  }

  /** The VM that owns the rollout, by what most VMs would choose. */
  ownerIndex(): number {
    return this.vms.findIndex(({ rollouts }) => rollouts.owns(SERVICE));
  }

  /** Lets the time pass while the clients send requests. */
  async run(durationMs: number): Promise<void> {
    const endsAtMs = this.network.nowMs + durationMs;
    while (this.network.nowMs < endsAtMs) {
      this.#sendRequests();
      if (this.network.nowMs % WATCH_INTERVAL_MS === 0) {
        for (const vm of this.vms) this.#watch(vm);
      }
      await this.network.step();
    }
  }

  /** Requests that the candidate got within a time. */
  countExposed(fromMs = 0, toMs = Infinity): number {
    return this.#count(CANDIDATE, fromMs, toMs);
  }

  countAll(fromMs: number, toMs: number): number {
    return this.sent.filter(({ atMs }) => atMs >= fromMs && atMs <= toMs)
      .length;
  }

  /** Requests that the current version got within a time. */
  countCurrent(fromMs = 0, toMs = Infinity): number {
    return this.#count(CURRENT, fromMs, toMs);
  }

  /** What the exposure rule allows until the deadline. */
  maxExposed(): number {
    const untilMs = Math.min(
      this.network.nowMs,
      this.requestedAtMs + DURATION_MS,
    );
    return EXPOSURE.share * this.countAll(this.requestedAtMs, untilMs) +
      EXPOSURE.slack;
  }

  #count(version: SoftwareVersion, fromMs: number, toMs: number): number {
    return this.sent.filter((request) =>
      request.version === version && request.atMs >= fromMs &&
      request.atMs <= toMs
    ).length;
  }

  #report(vm: Vm, version: SoftwareVersion): void {
    for (let n = 0; n < SERVERS_PER_VERSION; n++) {
      vm.register.apply(
        makeReport(`${version}-${n}`, {
          service: SERVICE,
          dataCentre: toId<DataCentreName>(`dc-${n % DATA_CENTRES}`),
          softwareVersion: version,
          startedAt: version === CURRENT ? 1 : 2,
        }),
        this.network.nowMs,
      );
    }
  }

  #watch(vm: Vm): void {
    if (vm.isFrozen || vm.store.isDisconnected || this.store.isDown) return;
    if (vm.knownEra !== this.#era) {
      vm.knownEra = this.#era;
      vm.rollouts.handleEraChange();
    }
    const stored = this.store.objects.get(KEY);
    const known = vm.known.get(KEY);
    if (stored !== undefined && known !== stored) {
      vm.known.set(KEY, stored);
      vm.rollouts.applyObject(stored);
    } else if (stored === undefined && known !== undefined) {
      vm.known.delete(KEY);
      setTimeout(() => {
        vm.rollouts.removeObject(known);
      }, this.#era > 0 ? RESTORATION_MS : 0);
    }
  }

  #sendRequests(): void {
    const { requestsPerSecond, vmCount } = this.#options;
    const probability = requestsPerSecond * STEP_MS / MS_PER_SECOND / vmCount;
    for (const [index, vm] of this.vms.entries()) {
      if (vm.isFrozen || this.#next() >= probability) continue;
      void this.#sendRequest(vm, index);
    }
  }

  async #sendRequest(vm: Vm, index: number): Promise<void> {
    const choice = await vm.directory.assign({
      service: SERVICE,
      dataCentre: vm.network.self.dataCentre,
      prefixKey: undefined,
      excluded: new Set<BackendServerId>(),
      includesRateLimited: true,
      softwareVersion: undefined,
      route: ROUTE,
    });
    if (choice === undefined) {
      this.refused += 1;
      return;
    }
    const call = vm.rollouts.gate.beginCall(choice.server, ROUTE);
    if (!vm.directory.maySend(choice, { isContinuation: false })) {
      call.end("notCounted");
      return;
    }
    call.recordSend();
    this.#respond(vm, index, { choice, call });
  }

  #respond(
    vm: Vm,
    index: number,
    { choice, call }: {
      readonly choice: ServerCandidate;
      readonly call: ReturnType<RolloutGate["beginCall"]>;
    },
  ): void {
    const { softwareVersion: version } = choice.server;
    this.sent.push({ atMs: this.network.nowMs, vm: index, version });
    choice.health.inFlight += 1;
    const isCandidate = version === CANDIDATE;
    const { failedShare, slowness } = isCandidate ? this.behaviour : GOOD;
    const isFailed = this.#next() < failedShare;
    const durationMs = WORK_MS * slowness * (0.5 + this.#next());
    setTimeout(() => {
      choice.health.inFlight -= 1;
      if (isCandidate && (isFailed || slowness > 2)) {
        this.badTimesMs.push(this.network.nowMs);
      }
      // What a VM that was stopped would have counted is lost.
      if (!vm.isFrozen) call.end(isFailed ? "failed" : "answered", durationMs);
    }, durationMs);
  }

  #next(): number {
    return uniformFloat64(this.#random);
  }
}
