/**
 * VMs in simulated time whose requests share prompt parts. Requests arrive at
 * random VMs.
 *
 * @module
 */

import {
  type AttemptId,
  type SuspectId,
  toId,
} from "@sassafrasstage/protocol/ids";
import type { MockTimers } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { createLogger } from "../../observability/logger.js";
import { Metrics } from "../../observability/metrics.js";
import {
  SimulatedNetwork,
  STEP_MS,
} from "../../peers/testing/simulated_network.js";
import { PoisonParts } from "../poison_parts.js";
import { SimulatedBlockStore } from "./simulated_block_store.js";
import { SimulatedServers } from "./simulated_servers.js";

const MS_PER_SECOND = 1000;

/** Every request of the route has it. */
export const FIRST_PART = toId<SuspectId>("first");
export const POISON_PART = toId<SuspectId>("poison");
/** Requests have one of them. */
const SECOND_PARTS = ["a", "b", "c", "d"].map((name) =>
  toId<SuspectId>(`second-${name}`)
);

export interface PartFleetOptions {
  readonly vmCount: number;
  readonly serverCount: number;
  readonly seed: number;
  readonly timers: MockTimers;
}

/** Requests per second at all VMs together. */
export interface Traffic {
  readonly sound: number;
  readonly poison: number;
}

/** What became of a request's first attempt. */
export interface SentRequest {
  readonly atMs: number;
  readonly vmIndex: number;
  readonly parts: readonly SuspectId[];
  readonly isProbe: boolean;
  outcome: "refused" | "noServer" | "running" | "begun" | "crashed";
}

export class SimulatedPartFleet {
  readonly network: SimulatedNetwork;
  readonly servers: SimulatedServers;
  readonly store = new SimulatedBlockStore();
  readonly vms: PoisonParts[] = [];
  readonly requests: SentRequest[] = [];
  readonly #random: RandomGenerator;
  #lastRequest = 0;

  constructor(options: PartFleetOptions) {
    this.network = new SimulatedNetwork(options.timers);
    this.#random = xoroshiro128plus(options.seed);
    this.servers = new SimulatedServers(
      options.serverCount,
      () => this.network.nowMs,
    );
    for (let n = 0; n < options.vmCount; n++) this.restart(n);
  }

  /** Starts the VM with this index, or replaces it by one without state. */
  restart(index: number): void {
    const network = this.network.startVm(index);
    this.vms[index] = new PoisonParts({
      network,
      blocks: this.store.portOf(index),
      clock: { nowMs: () => this.network.nowMs },
      metrics: new Metrics(),
      logger: createLogger("error", {}),
    });
    this.network.announceConnections(network);
  }

  cutOff(index: number): void {
    const vm = this.network.vms[index];
    if (vm !== undefined) vm.partition = 1;
  }

  /** Lets the time pass while requests arrive. */
  async run(durationMs: number, traffic: Traffic): Promise<void> {
    const endsAtMs = this.network.nowMs + durationMs;
    while (this.network.nowMs < endsAtMs) {
      if (this.#isDue(traffic.sound)) this.send(this.#soundParts());
      if (this.#isDue(traffic.poison)) {
        this.send([...this.#soundParts(), POISON_PART]);
      }
      await this.network.step();
    }
  }

  /** Sends a request at a random VM, or at the given one. */
  send(
    parts: readonly SuspectId[],
    vmIndex = Math.floor(this.#nextRandom() * this.vms.length),
  ): SentRequest {
    const vm = this.vms[vmIndex];
    if (vm === undefined) throw new Error(`No VM ${vmIndex}`);
    this.#lastRequest += 1;
    const id = toId<AttemptId>(`request-${this.#lastRequest}`);
    const admission = vm.admit(id, parts);
    const request: SentRequest = {
      atMs: this.network.nowMs,
      vmIndex,
      parts,
      isProbe: admission.kind === "probe",
      outcome: admission.kind === "refused" ? "refused" : "noServer",
    };
    this.requests.push(request);
    if (admission.kind !== "refused") this.#call(vm, id, request);
    return request;
  }

  /** Requests with the part that servers got, from this time on. */
  sentWith(part: SuspectId, fromMs: number): SentRequest[] {
    return this.requests.filter(({ atMs, parts, outcome }) =>
      atMs >= fromMs && parts.includes(part) && outcome !== "refused" &&
      outcome !== "noServer"
    );
  }

  /** The share of sound requests that began at the first attempt. */
  begunShare(fromMs: number, toMs: number): number {
    const sound = this.requests.filter(({ atMs, parts }) =>
      atMs >= fromMs && atMs < toMs && !parts.includes(POISON_PART)
    );
    const begun = sound.filter(({ outcome }) => outcome === "begun");
    return sound.length === 0 ? 0 : begun.length / sound.length;
  }

  #call(vm: PoisonParts, id: AttemptId, request: SentRequest): void {
    const server = this.servers.choose(this.#nextRandom());
    if (server === undefined) return;
    request.outcome = "running";
    const { parts, vmIndex } = request;
    const observation = vm.observe({ request: id, server, parts });
    this.servers.call(server.id, {
      vmIndex,
      parts,
      onEvent: () => {
        request.outcome = "begun";
        observation.recordEvent();
      },
      onComplete: () => {
        observation.recordComplete();
      },
      onCrash: () => {
        if (request.outcome !== "begun") request.outcome = "crashed";
        observation.recordCrash();
      },
    });
  }

  #soundParts(): SuspectId[] {
    const index = Math.floor(this.#nextRandom() * SECOND_PARTS.length);
    return [FIRST_PART, ...SECOND_PARTS.slice(index, index + 1)];
  }

  #isDue(perSecond: number): boolean {
    return this.#nextRandom() < perSecond * STEP_MS / MS_PER_SECOND;
  }

  #nextRandom(): number {
    return uniformFloat64(this.#random);
  }
}
