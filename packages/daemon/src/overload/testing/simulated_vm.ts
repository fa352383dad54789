/**
 * Simulates a VM with little processor time: an event loop that handles in each
 * turn what was ready at its start. Refused clients come back to the same VM.
 *
 * @module
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { fullWorth, LATE_WORTH_SHARE } from "../deferral_cost.js";
import { DoorAdmission } from "../door_admission.js";
import { RequestAges } from "../request_ages.js";
import { RouteCosts } from "../route_costs.js";
import { VmLag } from "../vm_lag.js";

export interface VmSimulation {
  readonly policy: "legacy" | "callerCost";
  /** Load during the burst, relative to the usual one. */
  readonly load: number;
  readonly cores: number;
  readonly seed: number;
}

export interface VmResult {
  readonly worthShare: number;
  readonly onTimeShare: number;
  readonly servedShare: number;
  /** Part of the requests that were worked on and discarded. */
  readonly discardedShare: number;
  readonly servedByKind: ReadonlyMap<string, number>;
  readonly refusals: number;
}

interface Kind {
  readonly name: string;
  readonly priority: number;
  readonly perSecond: number;
  readonly costMs: number;
}

/** 0.15 cores at the usual load. */
const KINDS: readonly Kind[] = [
  { name: "note", priority: 0, perSecond: 3, costMs: 25 },
  { name: "draft", priority: 1, perSecond: 2, costMs: 25 },
  { name: "label", priority: 2, perSecond: 1, costMs: 25 },
];
const OBJECTIVE_MS = 1500;
const DEADLINE_MS = 6000;
const SERVICE_MS = 300;
const DURATION_MS = 30_000;
const BURST = { fromMs: 10_000, toMs: 20_000 };
const SAMPLE_INTERVAL_MS = 250;
/** Reading and refusing a request takes this part of its processor time. */
const READ_SHARE = 0.15;
const IMPATIENT_SHARE = 0.15;
const IMPATIENT_RETURN_MS = 60;
const MAX_TURN_EVENTS = 1000;

interface SimulatedRequest {
  readonly kind: Kind;
  readonly sentAtMs: number;
  id: string;
  attemptAtMs: number;
  wasWorkedOn: boolean;
  endedAtMs: number | undefined;
}

interface LoopEvent {
  readonly atMs: number;
  readonly costMs: number;
  readonly run: (nowMs: number) => number;
}

/** Runs a burst on one VM. */
export function simulateVm(options: VmSimulation): VmResult {
  const simulation = new SimulatedVm(options);
  simulation.run();
  return simulation.result();
}

class SimulatedVm {
  readonly #options: VmSimulation;
  readonly #lag: VmLag;
  readonly #door: DoorAdmission;
  readonly #costs = new RouteCosts();
  readonly #ages = new RequestAges();
  readonly #random;
  readonly #requests: SimulatedRequest[] = [];
  #events: LoopEvent[] = [];
  #usedMs = 0;
  readonly #waiting = new Map<string, SimulatedRequest>();
  #refusals = 0;
  #lastId = 0;

  constructor(options: VmSimulation) {
    this.#options = options;
    this.#lag = new VmLag({
      cores: options.cores,
      sampleIntervalMs: SAMPLE_INTERVAL_MS,
      usedMs: () => this.#usedMs,
    });
    this.#door = new DoorAdmission(this.#lag);
    this.#random = xoroshiro128plus(options.seed);
    for (const kind of KINDS) this.#addArrivals(kind);
  }

  run(): void {
    let nowMs = 0;
    let sampleDueAtMs = SAMPLE_INTERVAL_MS;
    let sampledAtMs = 0;
    let sampledUseMs = 0;
    while (nowMs < DURATION_MS + 2 * DEADLINE_MS) {
      if (nowMs >= sampleDueAtMs) {
        const usedMs = this.#usedMs - sampledUseMs;
        const intervalMs = nowMs - sampledAtMs;
        this.#lag.record({
          nowMs,
          delayMs: nowMs - sampleDueAtMs,
          intervalMs,
          usedMs,
        });
        this.#costs.recordUse(usedMs, intervalMs);
        sampledUseMs = this.#usedMs;
        sampledAtMs = nowMs;
        sampleDueAtMs = nowMs + SAMPLE_INTERVAL_MS;
      }
      nowMs = this.#runTurn(nowMs, sampleDueAtMs);
    }
  }

  /** Returns the time at the end of the turn. */
  #runTurn(startMs: number, sampleDueAtMs: number): number {
    const ready = this.#events.filter(({ atMs }) => atMs <= startMs)
      .sort((a, b) => a.atMs - b.atMs).slice(0, MAX_TURN_EVENTS);
    if (ready.length === 0 && this.#waiting.size === 0) {
      const nextMs = Math.min(
        ...this.#events.map(({ atMs }) => atMs),
        sampleDueAtMs,
      );
      return Math.max(startMs + 0.1, nextMs);
    }
    const taken = new Set(ready);
    this.#events = this.#events.filter((event) => !taken.has(event));
    let nowMs = startMs;
    for (const event of ready) {
      nowMs = this.#use(event.costMs, nowMs);
      nowMs = this.#use(event.run(nowMs), nowMs);
    }
    if (this.#waiting.size > 0) {
      nowMs = this.#use(this.#decideWaiting(nowMs), nowMs);
    }
    // The next turn isn't before the timer of the waiting requests.
    return ready.length === 0 && nowMs === startMs ? nowMs + 1 : nowMs;
  }

  #use(costMs: number, nowMs: number): number {
    this.#usedMs += costMs;
    return nowMs + costMs / this.#options.cores;
  }

  #addArrivals(kind: Kind): void {
    let atMs = 0;
    for (;;) {
      const isBurst = atMs >= BURST.fromMs && atMs < BURST.toMs;
      const rate = kind.perSecond * (isBurst ? this.#options.load : 1);
      atMs += -Math.log(1 - uniformFloat64(this.#random)) * 1000 / rate;
      if (atMs >= DURATION_MS) return;
      const request: SimulatedRequest = {
        kind,
        sentAtMs: atMs,
        id: "",
        attemptAtMs: atMs,
        wasWorkedOn: false,
        endedAtMs: undefined,
      };
      this.#requests.push(request);
      this.#attempt(request, atMs);
    }
  }

  #attempt(request: SimulatedRequest, atMs: number): void {
    request.attemptAtMs = atMs;
    this.#lastId += 1;
    request.id = `attempt-${this.#lastId}`;
    this.#events.push({
      atMs,
      costMs: request.kind.costMs * READ_SHARE,
      run: (nowMs) => this.#receive(request, nowMs),
    });
  }

  /** Returns the processor time of the rest of the turn. */
  #receive(request: SimulatedRequest, nowMs: number): number {
    const { kind, sentAtMs, attemptAtMs } = request;
    // The client states at each attempt how long it still waits.
    const statedMs = sentAtMs + DEADLINE_MS - attemptAtMs;
    if (nowMs > sentAtMs + DEADLINE_MS) return 0;
    if (this.#options.policy === "legacy") return this.#start(request, nowMs);
    const ageMs = this.#ages.ageMs(kind.name, statedMs);
    const decision = this.#door.offer({
      id: request.id,
      groups: {
        account: undefined,
        kind: kind.name,
        priority: kind.priority,
        relativeSize: 1,
      },
      isReturn: ageMs > 0,
      objectiveAtMs: nowMs + OBJECTIVE_MS - ageMs,
      deadlineAtMs: nowMs + statedMs,
      serviceMs: SERVICE_MS,
      costMs: this.#costs.costMs(kind.name),
    }, nowMs);
    switch (decision.kind) {
      case "admitted":
        return this.#start(request, nowMs);
      case "refused":
        this.#returnLater(request, decision.retryAfterMs, nowMs);
        return 0;
      case "waiting":
        this.#waiting.set(request.id, request);
        return 0;
    }
  }

  /** Runs after the events of a turn; returns the processor time it takes. */
  #decideWaiting(nowMs: number): number {
    let usedMs = 0;
    for (const { request: { id }, decision } of this.#door.decide(nowMs)) {
      const request = this.#waiting.get(id);
      this.#waiting.delete(id);
      if (request === undefined) continue;
      if (decision.kind === "admitted") usedMs += this.#start(request, nowMs);
      else this.#returnLater(request, decision.retryAfterMs, nowMs);
    }
    return usedMs;
  }

  #start(request: SimulatedRequest, nowMs: number): number {
    const { kind } = request;
    this.#costs.recordStart(kind.name);
    request.wasWorkedOn = true;
    const startMs = kind.costMs * (0.5 - READ_SHARE);
    this.#events.push({
      atMs: nowMs + startMs / this.#options.cores + SERVICE_MS,
      costMs: kind.costMs * 0.5,
      run: (endMs) => {
        this.#costs.recordEnd(kind.name);
        request.endedAtMs = endMs;
        return 0;
      },
    });
    return startMs;
  }

  #returnLater(
    request: SimulatedRequest,
    retryAfterMs: number,
    nowMs: number,
  ): void {
    this.#refusals += 1;
    const remainingMs = request.sentAtMs + DEADLINE_MS - nowMs;
    const isImpatient = uniformFloat64(this.#random) < IMPATIENT_SHARE;
    const afterMs = isImpatient
      ? IMPATIENT_RETURN_MS
      : Math.min(retryAfterMs, remainingMs * 0.3);
    if (afterMs < remainingMs && remainingMs > IMPATIENT_RETURN_MS) {
      this.#attempt(
        request,
        nowMs + Math.max(IMPATIENT_RETURN_MS, afterMs),
      );
    }
  }

  result(): VmResult {
    const inBurst = this.#requests.filter(({ sentAtMs }) =>
      sentAtMs >= BURST.fromMs && sentAtMs < BURST.toMs
    );
    let worth = 0;
    let fullSum = 0;
    let onTime = 0;
    let served = 0;
    let discarded = 0;
    const byKind = new Map(KINDS.map(({ name }) => [name, [0, 0]]));
    for (const { kind, sentAtMs, endedAtMs, wasWorkedOn } of inBurst) {
      const full = fullWorth({ priority: kind.priority, relativeSize: 1 });
      const tookMs = (endedAtMs ?? Infinity) - sentAtMs;
      const isServed = tookMs <= DEADLINE_MS;
      const isOnTime = tookMs <= OBJECTIVE_MS;
      fullSum += full;
      if (isServed) worth += isOnTime ? full : full * LATE_WORTH_SHARE;
      onTime += Number(isOnTime);
      served += Number(isServed);
      discarded += Number(wasWorkedOn && !isServed);
      const [count = 0, servedCount = 0] = byKind.get(kind.name) ?? [];
      byKind.set(kind.name, [count + 1, servedCount + Number(isServed)]);
    }
    const count = inBurst.length;
    return {
      worthShare: worth / fullSum,
      onTimeShare: onTime / count,
      servedShare: served / count,
      discardedShare: discarded / count,
      servedByKind: new Map(
        [...byKind].map(([name, [all = 0, ok = 0]]) => [name, ok / all]),
      ),
      refusals: this.#refusals,
    };
  }
}
