/**
 * Simulates bursts of stage graphs of several accounts, kinds and sizes, and
 * sums up what callers got. Refused clients come back.
 *
 * @module
 */

import type { ServiceName } from "@sassafrasstage/protocol/ids";
import type { StageGraph } from "@sassafrasstage/protocol/stage_graph";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { BatchLimits } from "../../routing/routing_configuration.js";
import { CallerCostQueue } from "../../stage_graphs/caller_cost_queue.js";
import {
  type Arrival,
  type JobReport,
  SimulatedStages,
  type SimulationOptions,
} from "../../stage_graphs/testing/simulated_stages.js";
import type { StageCall } from "../../stage_graphs/stage_call.js";
import {
  ENCODER,
  makeGraph,
  makeReport,
  makeStage,
  RERANKER,
  SAMPLE_LIMITS,
} from "../../testing/stage_samples.js";
import { RequestAges } from "../request_ages.js";
import { fullWorth, LATE_WORTH_SHARE } from "../deferral_cost.js";

export interface BurstOptions {
  readonly policy: "legacy" | "callerCost";
  /** Factor on the rate of all kinds during the burst. */
  readonly load: number;
  readonly seed: number;
  readonly plan?: SimulationOptions["plan"];
}

export interface GroupResult {
  readonly name: string;
  readonly requests: number;
  readonly onTimeShare: number;
  readonly servedShare: number;
  readonly worthShare: number;
}

export interface BurstResult {
  readonly all: GroupResult;
  readonly accounts: readonly GroupResult[];
  readonly kinds: readonly GroupResult[];
  /** The largest tenth of each kind. */
  readonly largest: readonly GroupResult[];
  /** Largest lead in served share of a kind over a more urgent one. */
  readonly inversion: number;
  readonly refusals: number;
  /** Mean number of items of the calls during the burst, by service. */
  readonly itemsPerCall: ReadonlyMap<ServiceName, number>;
  /** Part of the items made whose jobs were not served. */
  readonly wastedShare: number;
}

const LIMITS: ReadonlyMap<ServiceName, BatchLimits> = new Map([
  [ENCODER, SAMPLE_LIMITS],
  [RERANKER, { ...SAMPLE_LIMITS, maxItems: 20, itemMs: 5 }],
]);
const SERVER_COUNT = 4;
const DURATION_MS = 20_000;
const BURST = { fromMs: 5000, toMs: 13_000 };
/** The last deadline is over by then. */
const END_MS = DURATION_MS + 16_000;
const ACCOUNT_COUNT = 16;
const LARGE_ACCOUNTS = 3;
/** Part of the traffic that the large accounts send. */
const LARGE_ACCOUNT_TRAFFIC = 0.6;
/** Part of the clients that come back at once instead of waiting. */
const IMPATIENT_SHARE = 0.15;
const IMPATIENT_RETURN_MS = 60;
const LARGE_SIZE_SHARE = 0.1;
const LARGE_SIZE = 3;
const SMALL_SIZE = 0.78;

interface Kind {
  readonly name: string;
  readonly perSecond: number;
  /** @param scale Factor on the number of items */
  readonly make: (scale: number) => Partial<StageGraph>;
}

/** About three quarters of the capacity without a burst. */
const KINDS: readonly Kind[] = [
  {
    name: "note",
    perSecond: 12,
    make: (scale) => ({
      priority: 0,
      objectiveInMs: 2000,
      deadlineInMs: 10_000,
      stages: [
        makeStage({ itemCount: scale }),
        makeStage({ service: RERANKER, after: [0], itemCount: 4 * scale }),
      ],
    }),
  },
  {
    name: "draft",
    perSecond: 8,
    make: (scale) => ({
      priority: 1,
      objectiveInMs: 1500,
      deadlineInMs: 8000,
      stages: [makeStage({ itemCount: 2 * scale, resultBytes: 500_000 })],
    }),
  },
  {
    name: "label",
    perSecond: 8,
    make: (scale) => ({
      priority: 2,
      objectiveInMs: 2200,
      deadlineInMs: 6000,
      stages: [
        makeStage({ itemCount: 1, resultBytes: 500_000 }),
        makeStage({ itemCount: scale }),
        makeStage({ service: RERANKER, after: [1], itemCount: 4 * scale }),
      ],
    }),
  },
];

/**
 * Runs one burst.
 *
 * @example
 * ```ts
 * const { all } = simulateBurst({ policy: "callerCost", load: 2.5, seed: 1 });
 * ```
 */
export function simulateBurst(options: BurstOptions): BurstResult {
  const random = xoroshiro128plus(options.seed);
  function draw(): number {
    return uniformFloat64(random);
  }
  const arrivals = makeArrivals(options.load, draw);
  const returning = xoroshiro128plus(options.seed + 1000);
  const ages = new RequestAges();
  let refusals = 0;
  const stages = new SimulatedStages({
    limits: LIMITS,
    resultUseMs: 100,
    ...(options.plan === undefined ? {} : { plan: options.plan }),
    ...(options.policy === "callerCost"
      ? {
        callerCost: new CallerCostQueue(),
        ageMs: (graph: StageGraph, deadlineInMs: number) =>
          ages.ageMs(graph.kind ?? "", deadlineInMs),
      }
      : {}),
    returnAfterMs: ({ retryAfterMs, remainingMs }) => {
      refusals += 1;
      const isImpatient = uniformFloat64(returning) < IMPATIENT_SHARE;
      if (isImpatient) return IMPATIENT_RETURN_MS;
      return Math.max(
        IMPATIENT_RETURN_MS,
        Math.min(retryAfterMs, remainingMs * 0.3),
      );
    },
  });
  for (let n = 0; n < SERVER_COUNT; n++) {
    stages.register.apply(makeReport(`e${n}`), 0);
    stages.register.apply(makeReport(`r${n}`, { service: RERANKER }), 0);
  }
  stages.submit(arrivals);
  stages.runUntil(END_MS);
  return {
    ...summarize(stages.reports),
    refusals,
    itemsPerCall: meanItemsPerCall(stages.calls),
    wastedShare: findWastedShare(stages),
  };
}

function meanItemsPerCall(
  calls: readonly StageCall[],
): Map<ServiceName, number> {
  const means = new Map<ServiceName, number>();
  for (const service of LIMITS.keys()) {
    const items = calls
      .filter((call) =>
        call.service === service && call.startedAtMs >= BURST.fromMs &&
        call.startedAtMs < BURST.toMs
      )
      .map(({ entries }) => entries.length);
    means.set(
      service,
      items.reduce((sum, count) => sum + count, 0) / items.length,
    );
  }
  return means;
}

function findWastedShare({ calls, reports }: SimulatedStages): number {
  const served = new Set(
    reports.filter(({ outcome }) => outcome.kind === "completed")
      .map(({ graph }) => graph.attemptId),
  );
  let items = 0;
  let wasted = 0;
  for (const { entries } of calls) {
    items += entries.length;
    wasted += entries
      .filter(({ job }) => !served.has(job.graph.attemptId)).length;
  }
  return wasted / items;
}

function makeArrivals(load: number, draw: () => number): Arrival[] {
  const arrivals: Arrival[] = [];
  for (const { name, perSecond, make } of KINDS) {
    let atMs = 0;
    for (;;) {
      const isBurst = atMs >= BURST.fromMs && atMs < BURST.toMs;
      const rate = perSecond * (isBurst ? load : 1);
      atMs += -Math.log(1 - draw()) * 1000 / rate;
      if (atMs >= DURATION_MS) break;
      const isLarge = draw() < LARGE_SIZE_SHARE;
      const graph = makeGraph({
        ...make(isLarge ? 2 : 1),
        inputKey: name,
        kind: name,
        account: chooseAccount(draw),
        relativeSize: isLarge ? LARGE_SIZE : SMALL_SIZE,
      });
      arrivals.push({ atMs, graph });
    }
  }
  return arrivals;
}

function chooseAccount(draw: () => number): string {
  const isLarge = draw() < LARGE_ACCOUNT_TRAFFIC;
  const count = isLarge ? LARGE_ACCOUNTS : ACCOUNT_COUNT - LARGE_ACCOUNTS;
  const first = isLarge ? 0 : LARGE_ACCOUNTS;
  return `account-${first + Math.floor(draw() * count)}`;
}

function summarize(
  reports: readonly JobReport[],
): Omit<BurstResult, "refusals" | "itemsPerCall" | "wastedShare"> {
  const inBurst = reports.filter(({ arrivedAtMs }) =>
    arrivedAtMs >= BURST.fromMs && arrivedAtMs < BURST.toMs
  );
  const kinds = KINDS.map(({ name }) =>
    summarizeGroup(name, inBurst.filter(({ graph }) => graph.kind === name))
  );
  const accounts = [...new Set(inBurst.map(({ graph }) => graph.account ?? ""))]
    .sort()
    .map((name) =>
      summarizeGroup(
        name,
        inBurst.filter(({ graph }) => graph.account === name),
      )
    );
  const largest = KINDS.map(({ name }) =>
    summarizeGroup(
      name,
      inBurst.filter(({ graph }) =>
        graph.kind === name && graph.relativeSize === LARGE_SIZE
      ),
    )
  );
  return {
    all: summarizeGroup("all", inBurst),
    accounts,
    kinds,
    largest,
    inversion: findInversion(kinds),
  };
}

function summarizeGroup(
  name: string,
  reports: readonly JobReport[],
): GroupResult {
  let worth = 0;
  let fullSum = 0;
  let onTime = 0;
  let served = 0;
  for (const report of reports) {
    const { graph, outcome, arrivedAtMs, endedAtMs, isOnTime } = report;
    const full = fullWorth(graph);
    fullSum += full;
    const endsInTime =
      endedAtMs <= arrivedAtMs + graph.deadlineInMs - graph.finishMs;
    if (outcome.kind !== "completed" || !endsInTime) continue;
    served += 1;
    onTime += Number(isOnTime);
    worth += isOnTime ? full : full * LATE_WORTH_SHARE;
  }
  const requests = reports.length;
  return {
    name,
    requests,
    onTimeShare: onTime / requests,
    servedShare: served / requests,
    worthShare: worth / fullSum,
  };
}

/** Kinds are in the order of their priority. */
function findInversion(kinds: readonly GroupResult[]): number {
  let inversion = 0;
  for (const [position, { servedShare }] of kinds.entries()) {
    for (const lessUrgent of kinds.slice(position + 1)) {
      inversion = Math.max(inversion, lessUrgent.servedShare - servedShare);
    }
  }
  return inversion;
}
