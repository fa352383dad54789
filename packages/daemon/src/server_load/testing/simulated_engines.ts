/**
 * Simulates model engines that crash if the requests that they hold exceed their
 * memory, behind many VMs in virtual time. Streams that a crash breaks are
 * resumed at other engines.
 *
 * @module
 */

import { type BackendServerId, toId } from "@sassafrasstage/protocol/ids";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { setImmediate as nextTurn } from "node:timers/promises";
import type { PromptShape } from "../../forwarding/routed_request.js";
import { createLogger } from "../../observability/logger.js";
import { Metrics } from "../../observability/metrics.js";
import {
  type PlacementRequest,
  ServerDirectory,
} from "../../placement/server_directory.js";
import { makeRateLimits } from "../../rate_limits/testing/make_rate_limits.js";
import { ServerRegister } from "../../register/server_register.js";
import { EAST, ENCODER, makeReport } from "../../testing/stage_samples.js";
import { EngineMemories } from "../engine_memories.js";
import type { EngineReport } from "../engine_memory.js";
import { ServerLoads } from "../server_loads.js";

export interface EngineFleetOptions {
  readonly seed: number;
  readonly vmCount: number;
  readonly engineCount: number;
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  readonly accountsMemory: boolean;
  /** Whether engines state four figures of load. */
  readonly statesLoad: boolean;
  /** When an engine crashes for another reason. */
  readonly crashAtMs?: number;
}

export interface EngineFleetReport {
  readonly requests: number;
  readonly completed: number;
  readonly refused: number;
  readonly memoryCrashes: number;
  readonly reports: number;
  /** Most new and resumed requests of the crashed engine that one other got. */
  readonly largestShareAfterCrash: number;
  /** Requests that were started again after the crash. */
  readonly resumedAfterCrash: number;
}

const CAPACITY_TOKENS = 400_608;
const SLOTS = 16;
const MAX_QUEUED = 16;
const PREFIX_COUNT = 24;
const SYSTEM_TOKENS = 2000;
const PREFIX_TOKENS = 20_000;
const TOKEN_MS = 20;
const STEP_MS = 10;
const RESTART_MS = 6000;
const REPORT_AGE_MS = 300;
const MAX_WAIT_MS = 500;
const RETRY_MS = 40;
const MAX_ATTEMPTS = 3;
/** Time after a crash in which its streams are placed again. */
const AFTER_CRASH_MS = 1000;

interface EngineRequest {
  readonly prompt: PromptShape;
  generated: number;
  readonly target: number;
  isRunning: boolean;
  readonly onEnd: (isComplete: boolean) => void;
}

interface Engine {
  readonly id: BackendServerId;
  startedAt: number;
  downUntilMs: number;
  requests: EngineRequest[];
  readonly history: EngineReport[];
}

interface Vm {
  readonly directory: ServerDirectory;
  readonly loads: ServerLoads;
}

interface PendingRequest {
  readonly vm: Vm;
  readonly prompt: PromptShape;
  readonly excluded: Set<BackendServerId>;
  readonly target: number;
  arrivedAtMs: number;
  attempts: number;
}

class EngineFleet {
  readonly #options: EngineFleetOptions;
  readonly #random: () => number;
  readonly #register: ServerRegister;
  readonly #engines = new Map<BackendServerId, Engine>();
  readonly #vms: Vm[] = [];
  #waiting: PendingRequest[] = [];
  #nowMs = 0;
  #requests = 0;
  #completed = 0;
  #refused = 0;
  #memoryCrashes = 0;
  #reports = 0;
  readonly #resumedAt = new Map<BackendServerId, number>();

  constructor(options: EngineFleetOptions) {
    this.#options = options;
    const generator = xoroshiro128plus(options.seed);
    this.#random = () => uniformFloat64(generator);
    this.#register = new ServerRegister((change) => {
      if (change.kind !== "ended") return;
      for (const { directory } of this.#vms) {
        directory.forget(change.server.id);
        directory.recordCrash(change.server);
      }
    });
    for (let n = 0; n < options.engineCount; n++) {
      const id = toId<BackendServerId>(`engine-${n}`);
      const engine = {
        id,
        startedAt: 1,
        downUntilMs: -1,
        requests: [],
        history: [],
      };
      this.#engines.set(id, engine);
      this.#register.apply(makeReport(id), 0);
    }
    for (let n = 0; n < options.vmCount; n++) this.#vms.push(this.#makeVm());
  }

  async run(): Promise<EngineFleetReport> {
    const { durationMs, requestsPerSecond, crashAtMs } = this.#options;
    let nextArrivalMs = 0;
    for (; this.#nowMs < durationMs; this.#nowMs += STEP_MS) {
      while (nextArrivalMs <= this.#nowMs) {
        await this.#arrive();
        nextArrivalMs += -Math.log(1 - this.#random()) * 1000 /
          requestsPerSecond;
      }
      if (this.#nowMs === crashAtMs) this.#crashBusiest();
      for (const engine of this.#engines.values()) this.#step(engine);
      if (this.#nowMs % RETRY_MS === 0) await this.#placeWaiting();
      await nextTurn();
    }
    return {
      requests: this.#requests,
      completed: this.#completed,
      refused: this.#refused,
      memoryCrashes: this.#memoryCrashes,
      reports: this.#reports,
      largestShareAfterCrash: Math.max(0, ...this.#resumedAt.values()),
      resumedAfterCrash: [...this.#resumedAt.values()]
        .reduce((sum, count) => sum + count, 0),
    };
  }

  #makeVm(): Vm {
    const clock = { nowMs: () => this.#nowMs };
    const metrics = new Metrics();
    const logger = createLogger("error", {});
    function inFlightOf(id: BackendServerId): number {
      return directory.healthOf(id).inFlight;
    }
    const loads: ServerLoads = new ServerLoads({
      inFlightOf,
      clock,
      metrics,
      logger,
    });
    const { vmCount, accountsMemory } = this.#options;
    const directory: ServerDirectory = new ServerDirectory({
      clock,
      register: this.#register,
      rateLimits: makeRateLimits(),
      random: this.#random,
      loads,
      memories: new EngineMemories({
        isEnabled: () => accountsMemory,
        fetchReport: ({ id }) => {
          this.#reports += 1;
          return Promise.resolve(this.#reportOf(id));
        },
        inFlightOf,
        connectionShare: () => 2,
        vmCount: () => vmCount,
        engineCount: (service) => this.#register.usableServers(service).length,
        clock,
        metrics,
        logger,
      }),
      limits: () => ({
        retries: { windowMs: 10_000, ratio: 0, slack: 0 },
        coldOverage: 1,
        coldSlack: 0,
      }),
      findService: () => undefined,
      vmCount: () => vmCount,
    });
    return { directory, loads };
  }

  #reportOf(id: BackendServerId): EngineReport | undefined {
    const engine = this.#engines.get(id);
    return engine?.history.at(-Math.ceil(REPORT_AGE_MS / STEP_MS));
  }

  #between(low: number, high: number): number {
    return low + (high - low) * this.#random();
  }

  async #arrive(): Promise<void> {
    const vm = this.#vms[Math.floor(this.#random() * this.#vms.length)];
    if (vm === undefined) return;
    const isLarge = this.#random() < 0.1;
    const own = Math.round(
      isLarge ? this.#between(40_000, 80_000) : this.#between(4000, 20_000),
    );
    // A few prefixes are far more frequent than the others.
    const prefix = Math.floor(PREFIX_COUNT * this.#random() ** 2);
    this.#requests += 1;
    const pending = {
      vm,
      prompt: {
        inputTokens: SYSTEM_TOKENS + PREFIX_TOKENS + own,
        maxOutputTokens: 400,
        parts: [
          { id: "system", tokens: SYSTEM_TOKENS },
          { id: `prefix-${prefix}`, tokens: PREFIX_TOKENS },
          { id: `own-${this.#requests}`, tokens: own },
        ],
      },
      excluded: new Set<BackendServerId>(),
      target: Math.round(this.#between(100, 300)),
      arrivedAtMs: this.#nowMs,
      attempts: 0,
    };
    if (!await this.#place(pending)) this.#waiting.push(pending);
  }

  async #placeWaiting(): Promise<void> {
    for (const pending of this.#waiting.splice(0)) {
      if (await this.#place(pending)) continue;
      if (this.#nowMs - pending.arrivedAtMs <= MAX_WAIT_MS) {
        this.#waiting.push(pending);
      } else this.#refused += 1;
    }
  }

  async #place(pending: PendingRequest): Promise<boolean> {
    const { vm, prompt, excluded } = pending;
    const placement: PlacementRequest = {
      service: ENCODER,
      dataCentre: EAST,
      prefixKey: prompt.parts[1]?.id,
      excluded,
      includesRateLimited: true,
      softwareVersion: undefined,
      prompt,
    };
    const choice = await vm.directory.assign(placement);
    const engine = choice && this.#engines.get(choice.server.id);
    if (choice === undefined || engine === undefined) {
      vm.directory.lacksMemory(placement);
      return false;
    }
    if (engine.requests.length >= SLOTS + MAX_QUEUED) {
      choice.health.recordOverload(this.#nowMs);
      return false;
    }
    pending.attempts += 1;
    excluded.add(engine.id);
    choice.health.inFlight += 1;
    const release = vm.directory.holdMemory(choice.server, prompt);
    if (pending.attempts > 1 && this.#isAfterCrash()) {
      const count = this.#resumedAt.get(engine.id) ?? 0;
      this.#resumedAt.set(engine.id, count + 1);
    }
    engine.requests.push({
      prompt,
      generated: 0,
      target: pending.target,
      isRunning: false,
      onEnd: (isComplete) => {
        release();
        choice.health.inFlight -= 1;
        this.#finish(pending, isComplete);
      },
    });
    this.#state(vm, engine);
    return true;
  }

  #isAfterCrash(): boolean {
    const { crashAtMs } = this.#options;
    return crashAtMs !== undefined && this.#nowMs >= crashAtMs &&
      this.#nowMs <= crashAtMs + AFTER_CRASH_MS;
  }

  #state({ loads }: Vm, engine: Engine): void {
    const server = this.#register.get(engine.id);
    if (!this.#options.statesLoad || server === undefined) return;
    const running = engine.requests.filter(({ isRunning }) => isRunning).length;
    loads.record(server, {
      kind: "stated",
      load: {
        running,
        waiting: engine.requests.length - running,
        slots: SLOTS,
        slowdown: 1,
      },
    }, "");
  }

  #finish(pending: PendingRequest, isComplete: boolean): void {
    if (isComplete) {
      this.#completed += 1;
      return;
    }
    if (pending.attempts >= MAX_ATTEMPTS) return;
    pending.arrivedAtMs = this.#nowMs;
    this.#waiting.push(pending);
  }

  #step(engine: Engine): void {
    if (engine.downUntilMs > this.#nowMs) return;
    if (engine.downUntilMs >= 0) {
      engine.downUntilMs = -1;
      engine.startedAt += 1;
      this.#register.apply(
        makeReport(engine.id, { startedAt: engine.startedAt }),
        this.#nowMs,
      );
    }
    let runningCount = 0;
    const ended: EngineRequest[] = [];
    for (const request of engine.requests) {
      if (runningCount >= SLOTS) break;
      runningCount += 1;
      request.isRunning = true;
      request.generated += STEP_MS / TOKEN_MS;
      if (request.generated >= request.target) ended.push(request);
    }
    engine.requests = engine.requests.filter((request) =>
      !ended.includes(request)
    );
    for (const request of ended) request.onEnd(true);
    const usedTokens = heldTokens(engine);
    engine.history.push({
      usedTokens,
      totalTokens: CAPACITY_TOKENS,
      queuedRequests: engine.requests.length - runningCount + ended.length,
      runningRequests: runningCount - ended.length,
    });
    if (usedTokens <= CAPACITY_TOKENS) return;
    this.#memoryCrashes += 1;
    this.#crash(engine);
  }

  #crashBusiest(): void {
    const [busiest] = [...this.#engines.values()]
      .sort((a, b) => b.requests.length - a.requests.length);
    if (busiest !== undefined) this.#crash(busiest);
  }

  #crash(engine: Engine): void {
    engine.downUntilMs = this.#nowMs + RESTART_MS;
    engine.history.length = 0;
    const lost = engine.requests;
    engine.requests = [];
    this.#register.remove(engine.id);
    for (const request of lost) request.onEnd(false);
  }
}

function heldTokens({ requests }: Engine): number {
  const shared = new Map<string, number>();
  let tokens = 0;
  for (const { isRunning, prompt, generated } of requests) {
    if (!isRunning) continue;
    tokens += generated;
    for (const part of prompt.parts) shared.set(part.id, part.tokens);
  }
  for (const part of shared.values()) tokens += part;
  return tokens;
}

export function simulateEngines(
  options: EngineFleetOptions,
): Promise<EngineFleetReport> {
  return new EngineFleet(options).run();
}
