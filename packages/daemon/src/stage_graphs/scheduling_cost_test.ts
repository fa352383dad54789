import type { ServiceName } from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { BatchLimits } from "../routing/routing_configuration.js";
import {
  ENCODER,
  makeGraph,
  makeReport,
  makeStage,
  OWNER,
  RERANKER,
  SAMPLE_LIMITS,
} from "../testing/stage_samples.js";
import { SimulatedStages } from "./testing/simulated_stages.js";

const LIMITS: ReadonlyMap<ServiceName, BatchLimits> = new Map([
  [ENCODER, SAMPLE_LIMITS],
  [RERANKER, SAMPLE_LIMITS],
]);
const SERVER_COUNT = 12;
const MEASURED_GRAPHS = 400;
const REPETITIONS = 8;
const SMALL_BACKLOG = 50;
const LARGE_BACKLOG = 800;
/** The larger backlog is 16 times the smaller one. */
const MAX_COST_RATIO = 4;

function submitGraph(stages: SimulatedStages, id: string): void {
  stages.scheduler.submit({
    id,
    owner: OWNER,
    graph: makeGraph({
      objectiveInMs: 600_000,
      deadlineInMs: 3_600_000,
      stages: [
        makeStage(),
        makeStage({ service: RERANKER, after: [0], itemCount: 4 }),
      ],
    }),
    nowMs: stages.nowMs,
  });
  stages.scheduler.plan(stages.nowMs);
}

/** Processor time of one more graph behind a backlog of constant length. */
function measureGraphMs(backlog: number): number {
  const costs = Array.from({ length: REPETITIONS }, () => {
    const stages = new SimulatedStages({ limits: LIMITS });
    for (let n = 0; n < SERVER_COUNT; n++) {
      stages.register.apply(makeReport(`e${n}`), 0);
      stages.register.apply(makeReport(`r${n}`, { service: RERANKER }), 0);
    }
    for (let n = 0; n < backlog; n++) submitGraph(stages, `waiting-${n}`);
    const startedAt = process.cpuUsage();
    for (let n = 0; n < MEASURED_GRAPHS; n++) {
      submitGraph(stages, `new-${n}`);
      stages.scheduler.release(`new-${n}`);
    }
    const { user, system } = process.cpuUsage(startedAt);
    return (user + system) / 1000 / MEASURED_GRAPHS;
  });
  return Math.min(...costs);
}

describe("the processor time of scheduling", () => {
  it("hardly grows with the number of unfinished graphs", () => {
    // The first measurement of each runs code that isn't compiled yet.
    measureGraphMs(LARGE_BACKLOG);
    measureGraphMs(SMALL_BACKLOG);
    const ratio = measureGraphMs(LARGE_BACKLOG) /
      measureGraphMs(SMALL_BACKLOG);
    expect(ratio < MAX_COST_RATIO).toEqual(true);
  });
});
