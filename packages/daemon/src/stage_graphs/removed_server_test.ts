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

  it("is refused at once when the call fails and no other server is left", () => {
    const stages = new SimulatedStages({ limits: LIMITS });
    stages.register.apply(makeReport("e1"), 0);
    stages.submit([{ atMs: 0, graph: makeGraph() }]);
    stages.at(100, () => {
      stages.register.remove(makeReport("e1").id);
    });
    stages.at(130, () => {
      const callId = stages.calls[0]?.id ?? 0;
      const outcome = { kind: "unknown", detail: "reset" } as const;
      stages.scheduler.endCall(callId, outcome, stages.nowMs);
    });
    stages.runUntil(2000);
    expect(stages.reports.map(({ outcome, endedAtMs }) => [
      outcome.kind,
      endedAtMs,
    ])).toEqual([["refused", 160]]);
  });

  it("is made again at once by a server that was started again", () => {
    const stages = new SimulatedStages({ limits: LIMITS });
    stages.register.apply(makeReport("e1"), 0);
    stages.register.apply(makeReport("e2"), 0);
    stages.submit([{ atMs: 0, graph: makeGraph() }]);
    stages.at(100, () => {
      const id = stages.calls[0]?.server.id ?? "";
      stages.register.apply(makeReport(id, { startedAt: 2 }), stages.nowMs);
    });
    stages.runUntil(2000);
    expect(stages.calls.map(({ startedAtMs }) => startedAtMs))
      .toEqual([0, 100]);
  });
});
