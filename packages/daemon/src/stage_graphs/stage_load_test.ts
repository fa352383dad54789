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
const SERVERS = 4;
const LENGTH_MS = 20_000;
const BURST = { fromMs: 5000, toMs: 11_000 };

/** Short notes are the most urgent; labels can wait and cost as much. */
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
  /** Times the usual rate while the burst lasts. */
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
    while (atMs < LENGTH_MS) {
      const isBurst = atMs >= BURST.fromMs && atMs < BURST.toMs;
      const rate = perSecond * (isBurst ? burst : 1);
      atMs += -Math.log(1 - draw()) * 1000 / rate;
      arrivals.push({ atMs, graph: make() });
    }
  }
  return arrivals;
}

function play(
  classes: readonly LoadClass[],
  options: Partial<SimulationOptions> & {
    readonly disturb?: (stages: SimulatedStages) => void;
  } = {},
): JobReport[] {
  const stages = new SimulatedStages({
    limits: LIMITS,
    useMs: 100,
    ...options,
  });
  for (let n = 0; n < SERVERS; n++) {
    stages.register.apply(makeReport(`e${n}`), 0);
    stages.register.apply(makeReport(`r${n}`, { service: RERANKER }), 0);
  }
  options.disturb?.(stages);
  stages.submit(makeArrivals(classes, 7));
  stages.runUntil(LENGTH_MS + 16_000);
  return stages.reports;
}

function onTimeShare(reports: readonly JobReport[], kind?: string): number {
  const chosen = reports
    .filter((report) => kind === undefined || report.graph.inputKey === kind);
  const onTime = chosen.filter((report) => report.isOnTime);
  return onTime.length / chosen.length;
}

const USUAL: readonly LoadClass[] = [
  { make: makeNote, perSecond: 12, burst: 1 },
  { make: makeDraft, perSecond: 8, burst: 1 },
  { make: makeLabel, perSecond: 8, burst: 1 },
];

describe("stage scheduling", () => {
  it("serves the usual load on time", () => {
    expect(onTimeShare(play(USUAL)) > 0.97).toEqual(true);
  });

  it("keeps urgent notes on time through a burst of 2.5 times the drafts", () => {
    const load = USUAL.map((one) =>
      one.make === makeDraft ? { ...one, perSecond: 16, burst: 2.5 } : one
    );
    const own = play(load);
    const simpler = play(load, { plan: planInArrivalOrder });
    expect(onTimeShare(own, "note") > 0.9).toEqual(true);
    expect(onTimeShare(own) > onTimeShare(simpler) + 0.05).toEqual(true);
  });

  it("serves more on time than arrival order does through a burst of all", () => {
    const load = USUAL.map((one) => ({ ...one, burst: 2.5 }));
    const own = play(load);
    const simpler = play(load, { plan: planInArrivalOrder });
    expect(onTimeShare(own) > onTimeShare(simpler) + 0.1).toEqual(true);
  });

  it("starves no kind of request through a burst of all", () => {
    const load = USUAL.map((one) => ({ ...one, burst: 2.5 }));
    const reports = play(load);
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

  it("goes on with the servers that are left when a third of them is lost", () => {
    const reports = play(USUAL, {
      disturb: (stages) => {
        stages.at(BURST.fromMs, () => {
          const [lost] = stages.register.usable(ENCODER);
          if (lost !== undefined) stages.register.remove(lost.id);
        });
      },
    });
    expect(onTimeShare(reports, "note") > 0.9).toEqual(true);
    const served = reports
      .filter((report) => report.outcome.kind === "completed");
    expect(served.length / reports.length > 0.95).toEqual(true);
  });

  it("keeps work that can be on time away from a server five times slower", () => {
    const disturbed = {
      slownessOf: (server: { readonly id: string }, nowMs: number): number =>
        server.id === "e0" && nowMs > BURST.fromMs && nowMs < BURST.toMs
          ? 5
          : 1,
    };
    const own = play(USUAL, disturbed);
    const simpler = play(USUAL, { ...disturbed, plan: planInArrivalOrder });
    expect(onTimeShare(own) > onTimeShare(simpler)).toEqual(true);
    expect(onTimeShare(own) > 0.9).toEqual(true);
  });

  it("carries what a cut leaves with the servers that it reaches", () => {
    const reports = play(
      USUAL.map((one) => ({ ...one, perSecond: one.perSecond / 3 })),
      {
        refusalOf: ({ id }, nowMs) =>
          nowMs >= BURST.fromMs && nowMs < BURST.toMs && !id.endsWith("0")
            ? "notConnected"
            : undefined,
      },
    );
    const inCut = reports.filter((report) =>
      report.arrivedAtMs >= BURST.fromMs && report.arrivedAtMs < BURST.toMs
    );
    const refused = inCut.flatMap(({ outcome }) =>
      outcome.kind === "refused" ? [outcome.reason] : []
    );
    expect(refused).toEqual([]);
  });

  it("refuses early what can't be done, with a time to come back", () => {
    const load = USUAL.map((one) => ({ ...one, burst: 6 }));
    const refused = play(load)
      .filter((report) => report.outcome.kind === "refused");
    expect(refused.length > 0).toEqual(true);
    const held = refused.filter((report) =>
      report.endedAtMs - report.arrivedAtMs >
        0.75 * report.graph.deadlineInMs
    );
    expect(held.length / refused.length < 0.1).toEqual(true);
    for (const { outcome } of refused) {
      expect(outcome.kind === "refused" && outcome.retryAfterMs > 0)
        .toEqual(true);
    }
  });
});
