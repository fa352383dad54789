import type { ServiceName } from "@sassafrasstage/protocol/ids";
import type { StageGraph } from "@sassafrasstage/protocol/stage_graph";
import { expect } from "earl";
import { describe, it } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { BatchLimits } from "../routing/routing_configuration.js";
import {
  ENCODER,
  makeGraph,
  makeReport,
  makeStage,
  RERANKER,
  SAMPLE_LIMITS,
} from "../testing/stage_samples.js";
import { planInArrivalOrder } from "./testing/arrival_order.js";
import {
  type Arrival,
  type JobReport,
  SimulatedStages,
  type SimulationOptions,
} from "./testing/simulated_stages.js";

const LIMITS: ReadonlyMap<ServiceName, BatchLimits> = new Map([
  [ENCODER, SAMPLE_LIMITS],
  [RERANKER, { ...SAMPLE_LIMITS, maxItems: 20, itemMs: 5 }],
]);
const SERVER_COUNT = 4;
const DURATION_MS = 20_000;
const BURST = { fromMs: 5000, toMs: 11_000 };

/** Notes have the highest priority; labels can wait but cost as much. */
function makeNote(): StageGraph {
  return makeGraph({
    inputKey: "note",
    priority: 0,
    objectiveInMs: 2000,
    stages: [
      makeStage(),
      makeStage({ service: RERANKER, after: [0], itemCount: 4 }),
    ],
  });
}

function makeDraft(): StageGraph {
  return makeGraph({
    inputKey: "draft",
    priority: 1,
    objectiveInMs: 1500,
    stages: [makeStage({ itemCount: 2, resultBytes: 500_000 })],
  });
}

function makeLabel(): StageGraph {
  return makeGraph({
    inputKey: "label",
    priority: 2,
    objectiveInMs: 2000,
    deadlineInMs: 6000,
    stages: [
      makeStage({ itemCount: 1, resultBytes: 500_000 }),
      makeStage(),
      makeStage({ service: RERANKER, after: [1], itemCount: 4 }),
    ],
  });
}

interface LoadClass {
  readonly make: () => StageGraph;
  readonly perSecond: number;
  /** Factor on the normal rate during the burst. */
  readonly burst: number;
}

function makeArrivals(classes: readonly LoadClass[], seed: number): Arrival[] {
  const random = xoroshiro128plus(seed);
  function draw(): number {
    return uniformFloat64(random);
  }
  const arrivals: Arrival[] = [];
  for (const { make, perSecond, burst } of classes) {
    let atMs = 0;
    while (atMs < DURATION_MS) {
      const isBurst = atMs >= BURST.fromMs && atMs < BURST.toMs;
      const rate = perSecond * (isBurst ? burst : 1);
      atMs += -Math.log(1 - draw()) * 1000 / rate;
      arrivals.push({ atMs, graph: make() });
    }
  }
  return arrivals;
}

function simulate(
  classes: readonly LoadClass[],
  options: Partial<SimulationOptions> & {
    readonly injectFault?: (stages: SimulatedStages) => void;
  } = {},
): JobReport[] {
  const stages = new SimulatedStages({
    limits: LIMITS,
    resultUseMs: 100,
    ...options,
  });
  for (let n = 0; n < SERVER_COUNT; n++) {
    stages.register.apply(makeReport(`e${n}`), 0);
    stages.register.apply(makeReport(`r${n}`, { service: RERANKER }), 0);
  }
  options.injectFault?.(stages);
  stages.submit(makeArrivals(classes, 7));
  stages.runUntil(DURATION_MS + 16_000);
  return stages.reports;
}

function onTimeShare(reports: readonly JobReport[], kind?: string): number {
  const chosen = reports
    .filter((report) => kind === undefined || report.graph.inputKey === kind);
  const onTime = chosen.filter((report) => report.isOnTime);
  return onTime.length / chosen.length;
}

const NORMAL_LOAD: readonly LoadClass[] = [
  { make: makeNote, perSecond: 12, burst: 1 },
  { make: makeDraft, perSecond: 8, burst: 1 },
  { make: makeLabel, perSecond: 8, burst: 1 },
];

describe("stage scheduling", () => {
  it("serves the normal load on time", () => {
    expect(onTimeShare(simulate(NORMAL_LOAD)) > 0.97).toEqual(true);
  });

  it("keeps urgent notes on time during a burst of 2.5 times the drafts", () => {
    const load = NORMAL_LOAD.map((loadClass) =>
      loadClass.make === makeDraft
        ? { ...loadClass, perSecond: 16, burst: 2.5 }
        : loadClass
    );
    const prioritized = simulate(load);
    const arrivalOrder = simulate(load, { plan: planInArrivalOrder });
    expect(onTimeShare(prioritized, "note") > 0.9).toEqual(true);
    expect(onTimeShare(prioritized) > onTimeShare(arrivalOrder) + 0.05).toEqual(
      true,
    );
  });

  it("serves more requests on time than arrival order in a burst of all kinds", () => {
    const load = NORMAL_LOAD.map((loadClass) => ({ ...loadClass, burst: 2.5 }));
    const prioritized = simulate(load);
    const arrivalOrder = simulate(load, { plan: planInArrivalOrder });
    expect(onTimeShare(prioritized) > onTimeShare(arrivalOrder) + 0.1).toEqual(
      true,
    );
  });

  it("starves no kind of request in a burst of all kinds", () => {
    const load = NORMAL_LOAD.map((loadClass) => ({ ...loadClass, burst: 2.5 }));
    const reports = simulate(load);
    function served(kind: string): number {
      const chosen = reports.filter((report) => report.graph.inputKey === kind);
      const completed = chosen
        .filter((report) => report.outcome.kind === "completed");
      return completed.length / chosen.length;
    }
    for (const kind of ["note", "draft", "label"]) {
      expect(served(kind) > 0.4).toEqual(true);
    }
  });

  it("keeps serving on time after the loss of one of four encoder servers", () => {
    const reports = simulate(NORMAL_LOAD, {
      injectFault: (stages) => {
        stages.at(BURST.fromMs, () => {
          const [lost] = stages.register.usableServers(ENCODER);
          if (lost !== undefined) stages.register.remove(lost.id);
        });
      },
    });
    expect(onTimeShare(reports, "note") > 0.9).toEqual(true);
    const served = reports
      .filter((report) => report.outcome.kind === "completed");
    expect(served.length / reports.length > 0.95).toEqual(true);
  });

  it("keeps work that can be on time off a server with a slowdown of five", () => {
    const slowServer = {
      slowdownOf: (server: { readonly id: string }, nowMs: number): number =>
        server.id === "e0" && nowMs > BURST.fromMs && nowMs < BURST.toMs
          ? 5
          : 1,
    };
    const prioritized = simulate(NORMAL_LOAD, slowServer);
    const arrivalOrder = simulate(NORMAL_LOAD, {
      ...slowServer,
      plan: planInArrivalOrder,
    });
    expect(onTimeShare(prioritized) > onTimeShare(arrivalOrder)).toEqual(true);
    expect(onTimeShare(prioritized) > 0.9).toEqual(true);
  });

  it("serves the load on the reachable servers during a network partition", () => {
    const reports = simulate(
      NORMAL_LOAD.map((loadClass) => ({
        ...loadClass,
        perSecond: loadClass.perSecond / 3,
      })),
      {
        refusalOf: ({ id }, nowMs) =>
          nowMs >= BURST.fromMs && nowMs < BURST.toMs && !id.endsWith("0")
            ? "notConnected"
            : undefined,
      },
    );
    const duringPartition = reports.filter((report) =>
      report.arrivedAtMs >= BURST.fromMs && report.arrivedAtMs < BURST.toMs
    );
    const refused = duringPartition.flatMap(({ outcome }) =>
      outcome.kind === "refused" ? [outcome.reason] : []
    );
    expect(refused).toEqual([]);
  });

  it("refuses infeasible jobs early, with a retry delay", () => {
    const load = NORMAL_LOAD.map((loadClass) => ({ ...loadClass, burst: 6 }));
    const refused = simulate(load)
      .filter((report) => report.outcome.kind === "refused");
    expect(refused.length > 0).toEqual(true);
    const lateRefusals = refused.filter((report) =>
      report.endedAtMs - report.arrivedAtMs >
        0.75 * report.graph.deadlineInMs
    );
    expect(lateRefusals.length / refused.length < 0.1).toEqual(true);
    for (const { outcome } of refused) {
      expect(outcome.kind === "refused" && outcome.retryAfterMs > 0)
        .toEqual(true);
    }
  });
});
