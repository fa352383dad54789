import type { ServiceName } from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { BatchLimits } from "../routing/routing_configuration.js";
import {
  EAST,
  ENCODER,
  makeGraph,
  makeReport,
  makeStage,
  OWNER,
  RERANKER,
  SAMPLE_LIMITS,
  WEST,
} from "../testing/stage_samples.js";
import { SimulatedStages } from "./testing/simulated_stages.js";

const LIMITS: ReadonlyMap<ServiceName, BatchLimits> = new Map([
  [ENCODER, SAMPLE_LIMITS],
  [RERANKER, { ...SAMPLE_LIMITS, maxItems: 20, itemMs: 5 }],
]);

function makeStages(
  options: Partial<ConstructorParameters<typeof SimulatedStages>[0]> = {},
): SimulatedStages {
  const stages = new SimulatedStages({ limits: LIMITS, ...options });
  stages.register.apply(makeReport("e1"), 0);
  stages.register.apply(makeReport("e2", { dataCentre: WEST }), 0);
  stages.register.apply(makeReport("r1", { service: RERANKER }), 0);
  return stages;
}

const CHAIN = [
  makeStage({ itemCount: 2 }),
  makeStage({ service: RERANKER, after: [0], itemCount: 3 }),
];

describe("a service whose limits are not known yet", () => {
  it("keeps its jobs until the configuration is read", () => {
    const stages = new SimulatedStages({ limits: new Map() });
    stages.submit([{ atMs: 0, graph: makeGraph() }]);
    stages.runUntil(200);
    expect(stages.reports).toEqual([]);
  });
});

describe("a reference that is no element of a header's list", () => {
  for (const reference of ["", "a,b", "a\r\nb: c", "x".repeat(1025), "ü"]) {
    it(`counts as an error: '${reference.slice(0, 20)}'`, () => {
      const stages = new SimulatedStages({ limits: LIMITS });
      stages.register.apply(makeReport("e1"), 0);
      const { scheduler } = stages;
      const endCall = scheduler.endCall.bind(scheduler);
      scheduler.endCall = (callId, outcome, nowMs) => {
        const isFirst = callId === 1 && outcome.kind === "answered";
        endCall(
          callId,
          isFirst
            ? { ...outcome, items: [{ kind: "made", reference }] }
            : outcome,
          nowMs,
        );
      };
      stages.submit([{ atMs: 0, graph: makeGraph() }]);
      stages.runUntil(2000);
      expect(stages.calls.length).toEqual(2);
      const [report] = stages.reports;
      expect(report?.outcome).toEqual({
        kind: "completed",
        results: [{
          reference: "e1/2.0",
          maker: makeReport("e1").id,
          dataCentre: EAST,
        }],
      });
    });
  }
});

describe("BatchScheduler", () => {
  it("passes all results of the preceding stages of the same request to a stage", () => {
    const stages = makeStages();
    const graphs = [1, 2, 3].map(() => makeGraph({ stages: CHAIN }));
    stages.submit(graphs.map((graph, n) => ({ atMs: n * 30, graph })));
    const inputs = new Map<string, string[]>();
    stages.at(0, () => undefined);
    const plan = stages.scheduler.plan.bind(stages.scheduler);
    stages.scheduler.plan = (nowMs) => {
      const calls = plan(nowMs);
      for (const { entries } of calls) {
        for (const { job, item } of entries) {
          if (item.stage !== 1) continue;
          inputs.set(
            `${job.id}/${item.index}`,
            job.inputsOf(1).map((input) => input.reference),
          );
        }
      }
      return calls;
    };
    stages.runUntil(3000);
    expect(stages.reports.map((report) => report.outcome.kind))
      .toEqual(["completed", "completed", "completed"]);
    expect(inputs.size).toEqual(9);
    for (const references of inputs.values()) {
      expect(new Set(references).size).toEqual(2);
    }
    const distinctInputs = new Set(
      [...inputs.values()].map((refs) => refs.join()),
    );
    expect(distinctInputs.size).toEqual(3);
  });

  it("frees every result after its use, and none before", () => {
    const stages = makeStages({ resultUseMs: 100 });
    stages.submit([{ atMs: 0, graph: makeGraph({ stages: CHAIN }) }]);
    stages.runUntil(520);
    const [report] = stages.reports;
    expect(report?.outcome.kind).toEqual("completed");
    expect(stages.freed.size).toEqual(2);
    stages.runUntil(2000);
    expect([...stages.freed].sort()).toEqual([...stages.made].sort());
  });

  it("batches the items of several requests into one call", () => {
    const stages = makeStages();
    stages.submit(
      Array.from({ length: 8 }, () => ({ atMs: 1, graph: makeGraph() })),
    );
    stages.runUntil(2000);
    expect(stages.calls.length <= 3).toEqual(true);
  });

  it("recomputes results that were lost with their server", () => {
    const stages = makeStages();
    const graph = makeGraph({ stages: CHAIN });
    stages.submit([{ atMs: 0, graph }]);
    // At this time the first stage is done and the second one uses its results.
    stages.at(300, () => {
      const [call] = stages.calls;
      if (call !== undefined) stages.register.remove(call.server.id);
    });
    stages.runUntil(3000);
    expect(stages.reports.map((report) => report.outcome.kind))
      .toEqual(["completed"]);
    const firstStage = stages.calls.filter((call) => call.service === ENCODER);
    expect(firstStage.length).toEqual(2);
  });

  it("sends the items of an overdue call to another server", () => {
    const stages = makeStages({
      slowdownOf: (server) => server.dataCentre === EAST ? 1000 : 1,
    });
    stages.submit([{ atMs: 0, graph: makeGraph() }]);
    stages.runUntil(3000);
    expect(stages.reports.map((report) => report.outcome.kind))
      .toEqual(["completed"]);
    expect(stages.calls.length).toEqual(2);
  });

  it("avoids a server whose address now belongs to another server", () => {
    const stages = makeStages({
      refusalOf: ({ id }) => id === "e1" ? "otherServer" : undefined,
      slowdownOf: () => 3,
    });
    stages.submit(
      Array.from({ length: 6 }, (_, n) => ({
        atMs: n * 100,
        graph: makeGraph({ stages: [makeStage({ itemCount: 4 })] }),
      })),
    );
    stages.runUntil(5000);
    const refused = stages.reports
      .filter(({ outcome }) => outcome.kind === "refused");
    expect(refused).toEqual([]);
    const misdirected = stages.calls.filter(({ server }) => server.id === "e1");
    expect(misdirected.length <= 2).toEqual(true);
  });

  it("starts no calls beyond the call limit or the result memory of a server", () => {
    const large = makeStage({ itemCount: 4, resultBytes: 2_000_000 });
    const stages = makeStages({ resultUseMs: 300 });
    stages.submit(
      Array.from({ length: 12 }, (_, n) => ({
        atMs: n * 20,
        graph: makeGraph({ stages: [large], objectiveInMs: 9000 }),
      })),
    );
    stages.runUntil(9000);
    const completed = stages.reports
      .filter((report) => report.outcome.kind === "completed");
    expect(completed.length).toEqual(12);
    for (const call of stages.calls) {
      const bytes = call.entries.length * large.resultBytes;
      expect(bytes <= SAMPLE_LIMITS.resultRoomBytes).toEqual(true);
      const overlapping = stages.calls.filter((other) =>
        other !== call && other.server.id === call.server.id &&
        other.startedAtMs === call.startedAtMs
      );
      expect(overlapping.length).toEqual(0);
    }
  });

  it("sends no calls to a server that is draining or taken out of service", () => {
    const stages = makeStages();
    stages.register.apply(makeReport("e1", { isDraining: true }), 0);
    stages.register.setDataCentresOut([WEST]);
    stages.submit([{ atMs: 10, graph: makeGraph() }]);
    stages.runUntil(500);
    expect(stages.calls).toEqual([]);
    expect(stages.reports.map(({ outcome }) => outcome.kind))
      .toEqual(["refused"]);
  });

  it("cancels the unfinished jobs of a VM that is gone", () => {
    const stages = makeStages();
    stages.submit([{ atMs: 0, graph: makeGraph({ stages: CHAIN }) }]);
    stages.at(100, () => {
      stages.scheduler.cancelOwnedBy(OWNER);
    });
    stages.runUntil(2000);
    expect(stages.reports).toEqual([]);
    expect([...stages.freed].sort()).toEqual([...stages.made].sort());
  });
});
