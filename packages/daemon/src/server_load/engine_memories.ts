/**
 * Memory of all model engines, as this VM knows it: which of them a request
 * fits into, and when an engine is asked for a report.
 *
 * @module
 */

import type {
  BackendServerId,
  ServiceName,
} from "@sassafrasstage/protocol/ids";
import type { Clock } from "../clock.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { RegisteredServer } from "../register/server_register.js";
import {
  EngineMemory,
  type EngineReport,
  type MemoryNeed,
  type OthersExpectation,
} from "./engine_memory.js";

/** Asks an engine for its report; resolves with undefined if there is none. */
export type EngineReporter = (
  server: RegisteredServer,
  connectionShare: number,
) => Promise<EngineReport | undefined>;

export interface EngineMemoriesOptions {
  /** Whether engines may crash for lack of memory; read at each use. */
  readonly isEnabled: () => boolean;
  readonly fetchReport: EngineReporter;
  readonly inFlightOf: (id: BackendServerId) => number;
  /** Maximum number of connections from this VM to a server of the service. */
  readonly connectionShare: (service: ServiceName) => number;
  readonly vmCount: () => number;
  readonly engineCount: (service: ServiceName) => number;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

interface EngineRecord {
  readonly server: RegisteredServer;
  readonly memory: EngineMemory;
  /** This VM's requests to the engine, each of which decays. */
  readonly requests: DecayedCount;
  /** When it was last asked for a report. */
  askedAtMs: number;
}

/** This VM's own requests to a service, which tell what others' are like. */
interface ServiceRecord {
  /** The memory of an engine; undefined until one has reported it. */
  totalTokens: number | undefined;
  /** Recent requests, for their rate. */
  readonly recentRequests: DecayedCount;
  /** Requests over a longer time, for the engines' shares of them. */
  readonly requests: DecayedCount;
  /** Beside shared parts. */
  tokensPerRequest: number;
  tokensSquared: number;
  outputTokens: number;
  holdMs: number;
  /** Engines that have ended unexpectedly, and when. */
  readonly crashed: Map<BackendServerId, number>;
}

/** A rate isn't estimated over a shorter time. */
const MIN_RATE_MS = 2000;
const RATE_PERIOD_MS = 15_000;
const SHARE_PERIOD_MS = 45_000;
/**
 * How much this VM's own share of requests to an engine tells about the others';
 * the rest is taken to be spread evenly, as a VM sends few.
 */
const OWN_SHARE_WEIGHT = 0.6;
const SMOOTHING = 0.1;
/** Calls that end after their engine may leave records of it. */
const MAX_ENGINES = 2000;
const INITIAL_HOLD_MS = 5000;
/** Reports cost as much as status checks; a VM asks at most this often. */
const REPORTS_PER_MS = 1 / 500;
/** Reports that a VM asks for in a row, as the first engine may be full. */
const MAX_REPORT_BURST = 5;
/** An engine isn't asked again before this time. */
const MIN_REPORT_AGE_MS = 1000;
/** A request doesn't wait longer for a report. */
const MAX_REPORT_WAIT_MS = 150;
/** Engines are asked only from this use of their memory on. */
const REPORTED_USE = 0.2;
/** Time for which the load of a crashed engine is spread over many others. */
const SPREAD_AFTER_CRASH_MS = 15_000;

/** A count of events that decays exponentially. */
class DecayedCount {
  readonly #periodMs: number;
  #count = 0;
  #atMs = 0;
  #startedAtMs: number | undefined;

  constructor(periodMs: number) {
    this.#periodMs = periodMs;
  }

  add(nowMs: number): void {
    this.#startedAtMs ??= nowMs;
    this.#count = this.valueAt(nowMs) + 1;
    this.#atMs = nowMs;
  }

  valueAt(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.#atMs);
    return this.#count * Math.exp(-elapsedMs / this.#periodMs);
  }

  /** Events per millisecond; takes into account that counting began lately. */
  rateAt(nowMs: number): number {
    if (this.#startedAtMs === undefined) return 0;
    const sinceMs = Math.max(MIN_RATE_MS, nowMs - this.#startedAtMs);
    const periodMs = this.#periodMs *
      (1 - Math.exp(-sinceMs / this.#periodMs));
    return this.valueAt(nowMs) / periodMs;
  }
}

export class EngineMemories {
  readonly #options: EngineMemoriesOptions;
  readonly #engines = new Map<BackendServerId, EngineRecord>();
  readonly #services = new Map<ServiceName, ServiceRecord>();
  #reportsLeft = MAX_REPORT_BURST;
  #reportsCountedAtMs = 0;

  constructor(options: EngineMemoriesOptions) {
    this.#options = options;
  }

  get isEnabled(): boolean {
    return this.#options.isEnabled();
  }

  /**
   * Tokens that the engine has left with the request; negative if it may not
   * fit. Undefined while the size of the service's engines isn't known.
   */
  freeTokens(
    server: RegisteredServer,
    request: { readonly need: MemoryNeed; readonly statedRequests: number },
    nowMs: number,
  ): number | undefined {
    const service = this.#serviceOf(server.service);
    if (service.totalTokens === undefined) return undefined;
    const engine = this.#engineOf(server);
    return engine.memory.freeTokens({
      need: request.need,
      totalTokens: service.totalTokens,
      others: this.#expectOthers(engine, request.statedRequests, nowMs),
    }, nowMs);
  }

  /**
   * Asks the engine for a report before a request is sent there, if its memory
   * may be used in large part and it wasn't asked lately. Resolves when the
   * choice should be made again; undefined if it isn't asked.
   */
  refresh(server: RegisteredServer): Promise<void> | undefined {
    const nowMs = this.#options.clock.nowMs();
    const { totalTokens } = this.#serviceOf(server.service);
    if (totalTokens !== undefined) {
      const engine = this.#engineOf(server);
      const free = engine.memory.freeTokens({
        need: undefined,
        totalTokens,
        others: this.#expectOthers(engine, 0, nowMs),
      }, nowMs);
      const meanFree = totalTokens - this.#meanTokens(server.service, nowMs);
      const mayBeFull = Math.min(free, meanFree) <
        totalTokens * (1 - REPORTED_USE);
      if (!mayBeFull) return undefined;
    }
    return this.#askForReport(server, nowMs);
  }

  /** Counts a request at the engine until the returned function is called. */
  place(server: RegisteredServer, need: MemoryNeed): () => void {
    const nowMs = this.#options.clock.nowMs();
    const service = this.#serviceOf(server.service);
    const engine = this.#engineOf(server);
    this.#recordNeed(service, need, nowMs);
    engine.requests.add(nowMs);
    const placement = engine.memory.place(need, nowMs);
    return () => {
      engine.memory.release(placement);
      const heldMs = this.#options.clock.nowMs() - nowMs;
      service.holdMs += (heldMs - service.holdMs) * SMOOTHING;
    };
  }

  /** Engines whose load is spread, as they have just crashed. */
  crashedEngines(service: ServiceName, nowMs: number): BackendServerId[] {
    const { crashed } = this.#serviceOf(service);
    for (const [id, atMs] of crashed) {
      if (nowMs - atMs > SPREAD_AFTER_CRASH_MS) crashed.delete(id);
    }
    return [...crashed.keys()];
  }

  /** About when a request of the service that is full now is likely to fit. */
  retryAfterMs(service: ServiceName): number {
    return this.#serviceOf(service).holdMs / 2;
  }

  recordCrash({ id, service }: RegisteredServer): void {
    // Other services than those of model engines aren't known here.
    if (!this.isEnabled || !this.#services.has(service)) return;
    const { clock, metrics, logger } = this.#options;
    this.#serviceOf(service).crashed.set(id, clock.nowMs());
    metrics.countEvent("engineLoadSpread");
    logger.info("engineLoadSpread", { server: id });
  }

  forget(id: BackendServerId): void {
    this.#engines.delete(id);
  }

  #engineOf(server: RegisteredServer): EngineRecord {
    const known = this.#engines.get(server.id);
    if (known !== undefined && known.server.startedAt === server.startedAt) {
      return known;
    }
    const engine = {
      server,
      memory: new EngineMemory(),
      requests: new DecayedCount(SHARE_PERIOD_MS),
      askedAtMs: -Infinity,
    };
    this.#engines.set(server.id, engine);
    if (this.#engines.size > MAX_ENGINES) this.#forgetOldest();
    return engine;
  }

  #forgetOldest(): void {
    const [oldest] = this.#engines.keys();
    if (oldest !== undefined) this.#engines.delete(oldest);
  }

  #serviceOf(name: ServiceName): ServiceRecord {
    let service = this.#services.get(name);
    if (service === undefined) {
      service = {
        totalTokens: undefined,
        recentRequests: new DecayedCount(RATE_PERIOD_MS),
        requests: new DecayedCount(SHARE_PERIOD_MS),
        tokensPerRequest: 0,
        tokensSquared: 0,
        outputTokens: 0,
        holdMs: INITIAL_HOLD_MS,
        crashed: new Map(),
      };
      this.#services.set(name, service);
    }
    return service;
  }

  #recordNeed(service: ServiceRecord, need: MemoryNeed, nowMs: number): void {
    const isFirst = service.tokensPerRequest === 0;
    const weight = isFirst ? 1 : SMOOTHING;
    const { ownTokens, outputTokens } = need;
    service.tokensPerRequest += (ownTokens - service.tokensPerRequest) * weight;
    service.tokensSquared += (ownTokens ** 2 - service.tokensSquared) * weight;
    service.outputTokens += (outputTokens - service.outputTokens) * weight;
    service.recentRequests.add(nowMs);
    service.requests.add(nowMs);
  }

  /** Other VMs are taken to send requests like this one's, at the same rate. */
  #expectOthers(
    { server, requests }: EngineRecord,
    statedRequests: number,
    nowMs: number,
  ): OthersExpectation {
    const service = this.#serviceOf(server.service);
    const { vmCount, engineCount } = this.#options;
    const evenShare = 1 / Math.max(1, engineCount(server.service));
    const ownShare = requests.valueAt(nowMs) /
      Math.max(1, service.requests.valueAt(nowMs));
    const share = OWN_SHARE_WEIGHT * ownShare +
      (1 - OWN_SHARE_WEIGHT) * evenShare;
    const requestsPerMs = service.recentRequests.rateAt(nowMs) *
      Math.max(0, vmCount() - 1) * share;
    return {
      requests: requestsPerMs * service.holdMs,
      requestsPerMs,
      tokensPerRequest: service.tokensPerRequest,
      tokensRms: Math.sqrt(service.tokensSquared),
      statedRequests,
    };
  }

  /** Tokens that an engine holds on average, apart from shared parts. */
  #meanTokens(name: ServiceName, nowMs: number): number {
    const service = this.#serviceOf(name);
    const { vmCount, engineCount } = this.#options;
    return service.recentRequests.rateAt(nowMs) * vmCount() * service.holdMs *
      service.tokensPerRequest / Math.max(1, engineCount(name));
  }

  #askForReport(
    server: RegisteredServer,
    nowMs: number,
  ): Promise<void> | undefined {
    const { connectionShare, inFlightOf } = this.#options;
    const engine = this.#engineOf(server);
    if (nowMs - engine.askedAtMs < MIN_REPORT_AGE_MS) return undefined;
    const share = connectionShare(server.service);
    // It would wait for the end of a stream.
    if (inFlightOf(server.id) >= share) return undefined;
    if (!this.#takeReport(nowMs)) return undefined;
    engine.askedAtMs = nowMs;
    return waitAtMost(MAX_REPORT_WAIT_MS, this.#fetchReport(server, share));
  }

  #takeReport(nowMs: number): boolean {
    const elapsedMs = nowMs - this.#reportsCountedAtMs;
    this.#reportsCountedAtMs = nowMs;
    this.#reportsLeft = Math.min(
      MAX_REPORT_BURST,
      this.#reportsLeft + elapsedMs * REPORTS_PER_MS,
    );
    if (this.#reportsLeft < 1) return false;
    this.#reportsLeft -= 1;
    return true;
  }

  async #fetchReport(
    server: RegisteredServer,
    share: number,
  ): Promise<void> {
    const { fetchReport, clock, metrics, logger } = this.#options;
    metrics.countEvent("engineReport");
    const report = await fetchReport(server, share);
    if (report === undefined) {
      metrics.countEvent("engineReportFailed");
      logger.info("engineReportFailed", { server: server.id });
      return;
    }
    const service = this.#serviceOf(server.service);
    if (service.totalTokens !== report.totalTokens) {
      logger.info("engineMemoryKnown", {
        service: server.service,
        tokens: report.totalTokens,
      });
    }
    service.totalTokens = report.totalTokens;
    this.#engineOf(server).memory.recordReport(report, {
      nowMs: clock.nowMs(),
      tokensPerRequest: service.tokensPerRequest,
      outputTokens: service.outputTokens,
    });
  }
}

async function waitAtMost(ms: number, promise: Promise<void>): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, ms);
  });
  await Promise.race([promise, timeout]);
  clearTimeout(timer);
}
