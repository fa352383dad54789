/**
 * A fleet of VMs in simulated time that sends requests to one server with a
 * rate limit. The server stays reachable for all of them.
 *
 * @module
 */

import { type BackendServerId, toId } from "@sassafrasstage/protocol/ids";
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
import type { RateLimitStatement } from "../rate_limit_statement.js";
import { ServerRateLimits } from "../server_rate_limits.js";

const SERVER = toId<BackendServerId>("engine-1");
const RESPONSE_DELAY_MS = 100;
const MS_PER_SECOND = 1000;

export interface SimulatedFleetOptions {
  readonly vmCount: number;
  /** Requests per second that the clients of all VMs send to the server. */
  readonly requestsPerSecond: number;
  readonly seed: number;
  readonly timers: MockTimers;
}

export class SimulatedFleet {
  readonly network: SimulatedNetwork;
  /** Times of all requests that the server has received. */
  readonly arrivalsMs: number[] = [];
  /** What the server states in its responses. */
  statement: RateLimitStatement = { kind: "unlimited" };
  readonly #limits: ServerRateLimits[] = [];
  readonly #options: SimulatedFleetOptions;
  readonly #random: RandomGenerator;

  constructor(options: SimulatedFleetOptions) {
    this.#options = options;
    this.#random = xoroshiro128plus(options.seed);
    this.network = new SimulatedNetwork(options.timers);
    for (let n = 0; n < options.vmCount; n++) this.restart(n);
  }

  /** Lets the time pass while the clients send requests. */
  async run(durationMs: number): Promise<void> {
    const endsAtMs = this.network.nowMs + durationMs;
    while (this.network.nowMs < endsAtMs) {
      this.#sendRequests();
      await this.network.step();
    }
  }

  /** The VM that grants the requests, as seen by the first VM. */
  ownerIndex(): number {
    const owner = this.#limits[0]?.ownerOf(SERVER);
    return this.network.vms.findIndex((vm) => vm.self.vmId === owner);
  }

  /** Starts the VM's process, which knows nothing of an earlier one. */
  restart(index: number): void {
    const vm = this.network.startVm(index);
    this.#limits[index] = new ServerRateLimits({
      network: vm,
      clock: { nowMs: () => this.network.nowMs },
      metrics: new Metrics(),
      logger: createLogger("error", {}),
    });
    this.network.announceConnections(vm);
  }

  countArrivals(fromMs: number): number {
    return this.arrivalsMs.filter((timeMs) => timeMs >= fromMs).length;
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

  #sendRequests(): void {
    const { requestsPerSecond, vmCount } = this.#options;
    const probability = requestsPerSecond * STEP_MS / MS_PER_SECOND / vmCount;
    for (const [index, vm] of this.network.vms.entries()) {
      const limits = this.#limits[index];
      if (limits === undefined || vm.isPaused) continue;
      if (uniformFloat64(this.#random) >= probability) continue;
      void this.#sendRequest(limits);
    }
  }

  async #sendRequest(limits: ServerRateLimits): Promise<void> {
    if (limits.availableInMs(SERVER, this.network.nowMs) > 0) return;
    if (!await limits.acquire(SERVER)) return;
    const startedAtMs = this.network.nowMs;
    this.arrivalsMs.push(startedAtMs);
    const { statement } = this;
    setTimeout(() => {
      limits.recordStatement(SERVER, statement, {
        startedAtMs,
        request: undefined,
      });
    }, RESPONSE_DELAY_MS);
  }
}
