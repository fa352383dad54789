/**
 * Simulates a plain service behind many VMs in virtual time. Its servers differ
 * in speed and share their machines, so that the time that work takes there
 * changes several times a second.
 *
 * @module
 */

import type { BackendServerId } from "@sassafrasstage/protocol/ids";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createLogger } from "../../observability/logger.js";
import { Metrics } from "../../observability/metrics.js";
import { makeRateLimits } from "../../rate_limits/testing/make_rate_limits.js";
import {
  type RegisteredServer,
  ServerRegister,
} from "../../register/server_register.js";
import type { LoadStatement } from "../../server_load/server_load.js";
import { ServerLoads } from "../../server_load/server_loads.js";
import {
  EAST,
  ENCODER,
  makeReport,
  WEST,
} from "../../testing/stage_samples.js";
import type { ServerCandidate } from "../choose_server.js";
import { ServerDirectory } from "../server_directory.js";

export type StatedFigures = "none" | "three" | "four";

export interface PlainServiceOptions {
  readonly seed: number;
  readonly vmCount: number;
  readonly serverCount: number;
  readonly slots: number;
  readonly requestsPerSecond: number;
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly durationMs: number;
  readonly figures: StatedFigures;
  /** What the first server states instead of its true slowdown, if it lies. */
  readonly falseSlowdown?: number;
  /** Slowdowns are drawn between these, evenly by their logarithm. */
  readonly slowdowns: readonly [low: number, high: number];
}

export interface PlainServiceReport {
  readonly onTimeShare: number;
  readonly meanMs: number;
  /** Share of the requests that the first server got. */
  readonly firstServerShare: number;
}

const MIN_SPEED = 0.55;
const MAX_SPEED = 1.3;
const MIN_PERIOD_MS = 100;
const MAX_PERIOD_MS = 400;
const NEAR_DELAY_MS = 1;
const FAR_DELAY_MS = 15;
/** Granularity at which work in progress follows the slowdown. */
const STEP_MS = 5;

interface QueuedRequest {
  readonly workMs: number;
  readonly done: (load: LoadStatement) => void;
}

interface SimulatedServer {
  readonly server: RegisteredServer;
  readonly speed: number;
  slowdown: number;
  running: number;
  readonly queue: QueuedRequest[];
}

interface SimulatedVm {
  readonly directory: ServerDirectory;
  readonly loads: ServerLoads;
  readonly isNear: (server: RegisteredServer) => boolean;
  readonly dataCentre: typeof EAST;
}

class PlainService {
  readonly #options: PlainServiceOptions;
  readonly #random: () => number;
  readonly #events = new Map<number, (() => void)[]>();
  readonly #servers = new Map<BackendServerId, SimulatedServer>();
  readonly #vms: SimulatedVm[] = [];
  readonly #durationsMs: number[] = [];
  #sentToFirst = 0;
  #nowMs = 0;

  constructor(options: PlainServiceOptions) {
    this.#options = options;
    const generator = xoroshiro128plus(options.seed);
    this.#random = () => uniformFloat64(generator);
    const register = new ServerRegister(() => undefined);
    for (let n = 0; n < options.serverCount; n++) {
      register.apply(
        makeReport(`s${n}`, { dataCentre: n % 2 === 0 ? EAST : WEST }),
        0,
      );
    }
    for (const server of register.allServers()) {
      const simulated = {
        server,
        speed: MIN_SPEED + (MAX_SPEED - MIN_SPEED) * this.#random(),
        slowdown: 1,
        running: 0,
        queue: [],
      };
      this.#servers.set(server.id, simulated);
      this.#changeSlowdown(simulated);
    }
    for (let n = 0; n < options.vmCount; n++) {
      this.#vms.push(this.#makeVm(register, n % 2 === 0 ? EAST : WEST));
    }
  }

  run(): PlainServiceReport {
    const { durationMs, objectiveMs, requestsPerSecond } = this.#options;
    this.#scheduleArrival();
    for (let atMs = 0; atMs < durationMs + 5000; atMs++) {
      this.#nowMs = atMs;
      const events = this.#events.get(atMs) ?? [];
      this.#events.delete(atMs);
      for (const run of events) run();
    }
    const expected = requestsPerSecond * durationMs / 1000;
    const onTime = this.#durationsMs.filter((ms) => ms <= objectiveMs);
    const totalMs = this.#durationsMs.reduce((sum, ms) => sum + ms, 0);
    return {
      onTimeShare: onTime.length / Math.max(1, this.#sentCount),
      meanMs: totalMs / Math.max(1, this.#durationsMs.length),
      firstServerShare: this.#sentToFirst / expected,
    };
  }

  #sentCount = 0;

  #makeVm(
    register: ServerRegister,
    dataCentre: typeof EAST,
  ): SimulatedVm {
    const clock = { nowMs: () => this.#nowMs };
    const loads: ServerLoads = new ServerLoads({
      inFlightOf: (id) => directory.healthOf(id).inFlight,
      clock,
      metrics: new Metrics(),
      logger: createLogger("error", {}),
    });
    const directory: ServerDirectory = new ServerDirectory({
      clock,
      register,
      loads,
      rateLimits: makeRateLimits(),
      random: this.#random,
      limits: () => ({
        retries: { windowMs: 10_000, ratio: 0, slack: 0 },
        coldOverage: 1,
        coldSlack: 0,
      }),
      findService: () => undefined,
      vmCount: () => this.#options.vmCount,
    });
    return {
      directory,
      loads,
      dataCentre,
      isNear: (server) => server.dataCentre === dataCentre,
    };
  }

  #after(delayMs: number, run: () => void): void {
    const atMs = Math.max(this.#nowMs + 1, Math.round(this.#nowMs + delayMs));
    const events = this.#events.get(atMs);
    if (events === undefined) this.#events.set(atMs, [run]);
    else events.push(run);
  }

  #changeSlowdown(server: SimulatedServer): void {
    const [low, high] = this.#options.slowdowns;
    server.slowdown = low * (high / low) ** this.#random();
    const periodMs = MIN_PERIOD_MS +
      (MAX_PERIOD_MS - MIN_PERIOD_MS) * this.#random();
    this.#after(periodMs, () => {
      this.#changeSlowdown(server);
    });
  }

  #scheduleArrival(): void {
    const { durationMs, requestsPerSecond } = this.#options;
    if (this.#nowMs >= durationMs) return;
    this.#after(
      -Math.log(1 - this.#random()) * 1000 / requestsPerSecond,
      () => {
        const vm = this.#vms[Math.floor(this.#random() * this.#vms.length)];
        if (vm !== undefined) this.#send(vm);
        this.#scheduleArrival();
      },
    );
  }

  #send(vm: SimulatedVm): void {
    const choice = vm.directory.preview({
      service: ENCODER,
      dataCentre: vm.dataCentre,
      prefixKey: undefined,
      excluded: new Set(),
      includesRateLimited: true,
      softwareVersion: undefined,
    }, this.#nowMs);
    const server = choice && this.#servers.get(choice.server.id);
    if (choice === undefined || server === undefined) return;
    this.#sentCount += 1;
    if (server.server.id === "s0") this.#sentToFirst += 1;
    choice.health.inFlight += 1;
    const sentAtMs = this.#nowMs;
    const delayMs = vm.isNear(server.server) ? NEAR_DELAY_MS : FAR_DELAY_MS;
    this.#after(delayMs, () => {
      server.queue.push({
        workMs: this.#options.workMs,
        done: (load) => {
          this.#after(delayMs, () => {
            this.#receive(vm, choice, { load, sentAtMs });
          });
        },
      });
      this.#startNext(server);
    });
  }

  #receive(
    vm: SimulatedVm,
    { server, health }: ServerCandidate,
    { load, sentAtMs }: {
      readonly load: LoadStatement;
      readonly sentAtMs: number;
    },
  ): void {
    const durationMs = this.#nowMs - sentAtMs;
    vm.loads.record(server, load, "");
    if (load.kind === "stated") {
      vm.loads.recordCall(server, { kind: "a", durationMs, load: load.load });
    }
    health.inFlight -= 1;
    health.recordResponse(durationMs);
    this.#durationsMs.push(durationMs);
  }

  #startNext(server: SimulatedServer): void {
    if (server.running >= this.#options.slots) return;
    const next = server.queue.shift();
    if (next === undefined) return;
    server.running += 1;
    this.#work(server, next, next.workMs);
  }

  #work(
    server: SimulatedServer,
    request: QueuedRequest,
    leftMs: number,
  ): void {
    const rate = server.speed / server.slowdown;
    if (leftMs > STEP_MS * rate) {
      this.#after(STEP_MS, () => {
        this.#work(server, request, leftMs - STEP_MS * rate);
      });
      return;
    }
    this.#after(leftMs / rate, () => {
      request.done(this.#statement(server));
      server.running -= 1;
      this.#startNext(server);
    });
  }

  #statement(server: SimulatedServer): LoadStatement {
    const { figures, falseSlowdown, slots } = this.#options;
    if (figures === "none") return { kind: "none" };
    const isFalse = falseSlowdown !== undefined && server.server.id === "s0";
    return {
      kind: "stated",
      load: {
        running: isFalse ? 0 : server.running,
        waiting: isFalse ? 0 : server.queue.length,
        slots,
        slowdown: figures === "three"
          ? undefined
          : isFalse
          ? falseSlowdown
          : server.slowdown,
      },
    };
  }
}

export function simulatePlainService(
  options: PlainServiceOptions,
): PlainServiceReport {
  return new PlainService(options).run();
}
