import type { GraphStage } from "@sassafrasstage/protocol/stage_graph";
import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import {
  ENCODER,
  makeGraph,
  makeReport,
  makeStage,
  RERANKER,
  SAMPLE_LIMITS,
} from "../testing/stage_samples.js";
import { SimulatedStages } from "./testing/simulated_stages.js";

const LIMITS = new Map([[ENCODER, SAMPLE_LIMITS], [RERANKER, SAMPLE_LIMITS]]);
const SEED = 48;
const RUNS = 200;
/** For all graphs of a run together. */
const MAX_GROWTH_BYTES = 50_000_000;

function submit(stages: readonly GraphStage[]): SimulatedStages {
  const simulated = new SimulatedStages({ limits: LIMITS });
  for (const id of ["e1", "e2"]) simulated.register.apply(makeReport(id), 0);
  simulated.register.apply(makeReport("r1", { service: RERANKER }), 0);
  simulated.submit([{ atMs: 0, graph: makeGraph({ stages }) }]);
  simulated.runUntil(40);
  return simulated;
}

function reasonOf(stages: readonly GraphStage[]): string | undefined {
  const [report] = submit(stages).reports;
  return report?.outcome.kind === "refused" ? report.outcome.reason : undefined;
}

describe("a graph that no schedule can complete", () => {
  it("is refused at once, whatever number of items a peer states", () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 16_385, max: Number.MAX_SAFE_INTEGER }), {
          minLength: 1,
          maxLength: 8,
        }),
        (counts) => {
          const heapBytes = process.memoryUsage().heapUsed;
          const stages = counts.map((itemCount) =>
            makeStage({ itemCount, resultBytes: 0 })
          );
          expect(reasonOf(stages)).toEqual("tooManyItems");
          const growthBytes = process.memoryUsage().heapUsed - heapBytes;
          expect(growthBytes < MAX_GROWTH_BYTES).toEqual(true);
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it("is refused if the servers have no room for the results of a stage", () => {
    // Two servers with room for 10 MB each.
    const fits = [makeStage({ itemCount: 20, resultBytes: 1_000_000 })];
    expect(reasonOf(fits)).toEqual(undefined);
    const tooMany = [makeStage({ itemCount: 21, resultBytes: 1_000_000 })];
    expect(reasonOf(tooMany)).toEqual("tooManyItems");
  });

  it("is refused if results expire before the stage is done", () => {
    // Each server makes 8 in 100 ms at best, and keeps results for 4,000 ms.
    expect(reasonOf([makeStage({ itemCount: 656, resultBytes: 1 })]))
      .toEqual(undefined);
    expect(reasonOf([makeStage({ itemCount: 657, resultBytes: 1 })]))
      .toEqual("tooManyItems");
  });

  it("is refused if its stages don't form a graph", () => {
    expect(reasonOf([makeStage({ after: [0] })])).toEqual("invalidGraph");
    expect(reasonOf([makeStage({ after: [7] })])).toEqual("invalidGraph");
    const repeated = new Array<number>(100_000).fill(0);
    expect(reasonOf([makeStage(), makeStage({ after: repeated })]))
      .toEqual("invalidGraph");
    expect(reasonOf(new Array<GraphStage>(257).fill(makeStage())))
      .toEqual("invalidGraph");
  });

  it("costs no time in proportion to the paths through its stages", () => {
    const stages = Array.from(
      { length: 26 },
      (_, position) => makeStage({ after: [...new Array(position).keys()] }),
    );
    const startedAtMs = performance.now();
    submit(stages);
    expect(performance.now() - startedAtMs < 500).toEqual(true);
  });
});
