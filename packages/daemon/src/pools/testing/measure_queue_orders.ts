/**
 * Simulates each queue order with the same seeded arrivals at one owned pool and
 * prints the percentage of permit requests whose calls end within the deadline:
 * `node packages/daemon/dist/pools/testing/measure_queue_orders.js`.
 *
 * @module
 */

import {
  type AttemptId,
  type PermitId,
  poolKey,
  toId,
} from "@sassafrasstage/protocol/ids";
import type { PermitDecision } from "@sassafrasstage/protocol/permits";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { IndexedHeap } from "../indexed_heap.js";
import { LatencyBaselines } from "../latency_baseline.js";
import { OwnedPool } from "../owned_pool.js";
import { buildPoolLayout, readVmAvailability } from "../pool_layout.js";
import type { QueueOrderName } from "../queue_order.js";
import {
  makeConfiguration,
  makePermitRequest,
  makeVmId,
} from "./test_configuration.js";

const SEED = 20261203;
const ORDERS: QueueOrderName[] = ["arrival", "deadline", "excessWait", "slack"];
const SERVERS = 6;
const SLOTS_PER_SERVER = 8;
const RUN_MS = 60_000;
const TICK_MS = 20;
/** Mean work of a request, by the mix that `makeArrivals` draws from `KINDS`. */
const MEAN_WORK_MS = 0.5 * 40 + 0.3 * 300 + 0.2 * 900;
const RANDOM_RESOLUTION = 1_000_000;

interface WorkKind {
  readonly name: "lookup" | "note" | "dossier";
  readonly urgency: "counter" | "deferrable";
  readonly workMs: number;
  readonly deadlineMs: number;
}

const KINDS: readonly WorkKind[] = [
  { name: "lookup", urgency: "counter", workMs: 40, deadlineMs: 500 },
  { name: "note", urgency: "counter", workMs: 300, deadlineMs: 2000 },
  { name: "dossier", urgency: "deferrable", workMs: 900, deadlineMs: 5000 },
];

interface Arrival {
  readonly atMs: number;
  readonly kind: WorkKind;
  readonly account: "small" | "large";
  /** The actual duration, which the queue order doesn't know. */
  readonly durationMs: number;
}

interface RunningCall {
  readonly endAtMs: number;
  readonly arrival: Arrival;
  readonly attemptId: AttemptId;
}

interface DeadlineCounts {
  decided: number;
  inTime: number;
}

class Measurement {
  readonly #counts = new Map<string, DeadlineCounts>();

  record(arrival: Arrival, isInTime: boolean): void {
    for (const name of ["all", arrival.kind.name, arrival.account]) {
      const counts = this.#counts.get(name) ?? { decided: 0, inTime: 0 };
      counts.decided += 1;
      counts.inTime += isInTime ? 1 : 0;
      this.#counts.set(name, counts);
    }
  }

  percent(name: string): string {
    const { decided, inTime } = this.#counts.get(name) ??
      { decided: 1, inTime: 0 };
    return (100 * inTime / decided).toFixed(1);
  }
}

/** Poisson arrivals, with a burst of the large account in the middle of the run. */
function makeArrivals(load: number): Arrival[] {
  const random = xoroshiro128plus(SEED);
  function nextRandom(): number {
    return (uniformInt(random, 0, RANDOM_RESOLUTION - 1) + 0.5) /
      RANDOM_RESOLUTION;
  }
  const arrivalsPerMs = load * SERVERS * SLOTS_PER_SERVER / MEAN_WORK_MS;
  const arrivals: Arrival[] = [];
  let atMs = 0;
  while (atMs < RUN_MS) {
    const isBurst = atMs > RUN_MS / 3 && atMs < RUN_MS / 2;
    atMs += -Math.log(nextRandom()) / (arrivalsPerMs * (isBurst ? 2 : 1));
    const kindSample = nextRandom();
    const kind = KINDS[kindSample < 0.5 ? 0 : kindSample < 0.8 ? 1 : 2];
    if (kind === undefined) continue;
    const isLarge = nextRandom() < (isBurst ? 0.85 : 0.7);
    arrivals.push({
      atMs,
      kind,
      account: isLarge ? "large" : "small",
      durationMs: kind.workMs * (0.5 + nextRandom()),
    });
  }
  return arrivals;
}

/** Simulates the arrivals with one queue order. */
function measure(
  order: QueueOrderName,
  arrivals: readonly Arrival[],
): Measurement {
  const measurement = new Measurement();
  const running = new IndexedHeap<RunningCall>((a, b) => a.endAtMs - b.endAtMs);
  const waiting = new Map<AttemptId, Arrival>();
  const granted = new Map<
    AttemptId,
    Extract<PermitDecision, { kind: "granted" }>
  >();
  let nowMs = 0;
  const pool = makePool(order, (attemptId, decision) => {
    const arrival = waiting.get(attemptId);
    if (arrival === undefined) return;
    waiting.delete(attemptId);
    if (decision.kind === "refused") {
      measurement.record(arrival, false);
      return;
    }
    granted.set(attemptId, decision);
    running.add({ endAtMs: nowMs + arrival.durationMs, arrival, attemptId });
  });

  function endCallsUntil(untilMs: number): void {
    for (;;) {
      const first = running.first();
      if (first === undefined || first.endAtMs > untilMs) return;
      running.remove(first);
      nowMs = first.endAtMs;
      const { arrival, attemptId } = first;
      const isInTime = nowMs <= arrival.atMs + arrival.kind.deadlineMs;
      measurement.record(arrival, isInTime);
      const permit = granted.get(attemptId)?.permit;
      if (permit === undefined) continue;
      pool.release({
        permitId: permit.permitId,
        backendServerId: permit.backendServerId,
        outcome: "completed",
        durationMs: arrival.durationMs,
      }, nowMs);
    }
  }

  let nextTickMs = 0;
  for (const arrival of arrivals) {
    for (; nextTickMs < arrival.atMs; nextTickMs += TICK_MS) {
      endCallsUntil(nextTickMs);
      nowMs = nextTickMs;
      pool.tick(nowMs);
    }
    endCallsUntil(arrival.atMs);
    nowMs = arrival.atMs;
    const { kind, account } = arrival;
    const permitRequest = makePermitRequest({
      account,
      urgency: kind.urgency,
      likelyDurationMs: 1.25 * kind.workMs,
      latestStartInMs: kind.deadlineMs - 1.25 * kind.workMs,
      deadlineInMs: kind.deadlineMs,
    });
    waiting.set(permitRequest.attemptId, arrival);
    pool.submit({ from: makeVmId("vm-1"), permitRequest, share: 1 }, nowMs);
  }
  endCallsUntil(Infinity);
  return measurement;
}

function makePool(
  queueOrder: QueueOrderName,
  decide: (attemptId: AttemptId, decision: PermitDecision) => void,
): OwnedPool {
  const layout = buildPoolLayout(makeConfiguration({
    servers: { palermo: SERVERS },
    warmLimit: SLOTS_PER_SERVER,
    coldLimit: SLOTS_PER_SERVER,
    warmAfterCompletions: 1,
  }));
  const entry = layout.pools.get(poolKey(makePermitRequest().pool));
  if (entry === undefined) throw new Error("The layout has no such pool");
  let permitNumber = 0;
  const pool = new OwnedPool({
    entry,
    queueOrder,
    hasPrefixAffinity: false,
    maxQueueLength: 2000,
    maxQueueAgeMs: 30_000,
    // One service runs all kinds of work here, so no latency indicates a cold start.
    baselines: new LatencyBaselines(),
    withheldForMs: () => 0,
    nextPermitId: () => {
      permitNumber += 1;
      return toId<PermitId>(`permit-${permitNumber}`);
    },
    rightsAt: () => ({ mayGrantCold: true, warm: { kind: "full" } }),
    decide: (_, attemptId, decision) => {
      decide(attemptId, decision);
    },
    isGone: () => false,
    onCooled: () => undefined,
    onStateChanged: () => undefined,
    onEvent: () => undefined,
  });
  const vms = readVmAvailability(undefined);
  pool.configure(entry, { layout, vms, nowMs: 0 });
  return pool;
}

const COLUMNS = ["all", "lookup", "note", "dossier", "small", "large"];

for (const load of [0.7, 1, 1.5]) {
  console.log(`load ${load}: ${["order", ...COLUMNS].join(" | ")}`);
  const arrivals = makeArrivals(load);
  for (const order of ORDERS) {
    const measurement = measure(order, arrivals);
    const cells = COLUMNS.map((name) => measurement.percent(name));
    console.log(`load ${load}: ${[order, ...cells].join(" | ")}`);
  }
}
