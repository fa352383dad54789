import { expect } from "earl";
import { describe, it } from "node:test";
import {
  ENCODER,
  makeGraph,
  makeReport,
  SAMPLE_LIMITS,
} from "../testing/stage_samples.js";
import { SimulatedStages } from "./testing/simulated_stages.js";

const LIMITS = new Map([[ENCODER, SAMPLE_LIMITS]]);

describe("a stage call at a server whose entry is removed", () => {
  it("isn't given up, as the server may go on serving", () => {
    const stages = new SimulatedStages({ limits: LIMITS });
    stages.register.apply(makeReport("e1"), 0);
    stages.submit([{ atMs: 0, graph: makeGraph() }]);
    stages.at(100, () => {
      stages.register.remove(makeReport("e1").id);
    });
    stages.runUntil(2000);
    expect(stages.made.length).toEqual(1);
    expect(stages.reports.map(({ outcome }) => outcome.kind))
      .toEqual(["completed"]);
  });
});
