import { expect } from "earl";
import { describe, it } from "node:test";
import { BufferAccount } from "../memory/buffer_account.js";
import {
  ENCODER,
  makeGraph,
  makeReport,
  makeStage,
  SAMPLE_LIMITS,
} from "../testing/stage_samples.js";
import { SimulatedStages } from "./testing/simulated_stages.js";

/** Time and results don't limit the number of items. */
const LIMITS = new Map([[
  ENCODER,
  {
    ...SAMPLE_LIMITS,
    maxItems: 1000,
    itemMs: 0.1,
    resultRetentionMs: 600_000,
  },
]]);
const MAX_BYTES = 87_500_000;
const ITEMS = 4096;
const GRAPHS = 1000;
/** Half of the account. */
const MAX_STATE_BYTES = MAX_BYTES / 2;

function makeAccount(maxBytes = MAX_BYTES): BufferAccount {
  return new BufferAccount({
    maxBytes,
    nowMs: () => 0,
    onEvicted: () => undefined,
  });
}

function makeStages(buffers: BufferAccount): SimulatedStages {
  const stages = new SimulatedStages({ limits: LIMITS, buffers });
  stages.register.apply(makeReport("e1"), 0);
  return stages;
}

function makeLargeGraph(): ReturnType<typeof makeGraph> {
  return makeGraph({
    stages: [makeStage({ itemCount: ITEMS, resultBytes: 0 })],
    objectiveInMs: 600_000,
    deadlineInMs: 600_000,
  });
}

// Guards against requests that are each within their bound and together exceed
// the memory of the VM that coordinates their stages.
describe("the memory of all stage graphs together", () => {
  it("is bounded, and what exceeds it is refused at once", () => {
    const buffers = makeAccount();
    const stages = makeStages(buffers);
    const heapBytes = process.memoryUsage().heapUsed;
    for (let n = 0; n < GRAPHS; n++) {
      stages.submit([{ atMs: 0, graph: makeLargeGraph() }]);
    }
    stages.runUntil(1);
    const growthBytes = process.memoryUsage().heapUsed - heapBytes;
    expect(growthBytes < 2 * MAX_STATE_BYTES).toEqual(true);
    expect(buffers.heldBytesFor("stageState") <= MAX_STATE_BYTES)
      .toEqual(true);
    expect(stages.scheduler.jobCount >= 10).toEqual(true);
    expect(stages.reports.length + stages.scheduler.jobCount).toEqual(GRAPHS);
    for (const { outcome, endedAtMs } of stages.reports) {
      expect(outcome.kind === "refused" && outcome.reason)
        .toEqual("overloaded");
      expect(endedAtMs).toEqual(0);
    }
  });

  it("is given back by graphs that end in any way", () => {
    const buffers = makeAccount();
    const stages = makeStages(buffers);
    stages.submit([
      { atMs: 0, graph: makeGraph() },
      { atMs: 0, graph: makeGraph({ deadlineInMs: 1 }) },
      { atMs: 0, graph: makeLargeGraph() },
    ]);
    stages.at(400, () => {
      stages.scheduler.handOverJobs();
    });
    stages.runUntil(2000);
    expect(stages.reports.length).toEqual(3);
    expect(buffers.heldBytes).toEqual(0);
  });

  it("is given back if bytes of others leave no room for it", () => {
    const buffers = makeAccount();
    const stages = makeStages(buffers);
    stages.submit([{ atMs: 0, graph: makeLargeGraph() }]);
    const body = buffers.open("requestBodies", {
      isIrreplaceable: () => true,
      evict: () => undefined,
    });
    stages.at(40, () => {
      body.resize(MAX_BYTES);
    });
    stages.runUntil(80);
    expect(stages.reports.map(({ outcome }) => outcome.kind))
      .toEqual(["refused"]);
    expect(buffers.heldBytesFor("stageState")).toEqual(0);
    stages.submit([{ atMs: 120, graph: makeGraph() }]);
    stages.runUntil(160);
    expect(stages.reports.map(({ outcome }) => outcome.kind))
      .toEqual(["refused", "refused"]);
    body.close();
    stages.submit([{ atMs: 200, graph: makeGraph() }]);
    stages.runUntil(1000);
    expect(stages.reports[2]?.outcome.kind).toEqual("completed");
  });
});
