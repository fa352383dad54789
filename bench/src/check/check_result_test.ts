import { expect } from "earl";
import { describe, it } from "node:test";
import type { ScenarioResult } from "../measure/run_scenario.js";
import { summarize } from "../load/summary.js";
import { readBounds } from "./bounds.js";
import { checkOverhead, checkResults } from "./check_result.js";

const RESULT: ScenarioResult = {
  scenario: "steady",
  deployment: "consorzio",
  policy: "current",
  loadPart: 0.7,
  requestsPerSecond: 100,
  summary: summarize([], 1000),
  control: {
    platformReadsPerSecond: 0,
    platformWritesPerSecond: 0,
    peerBytesPerSecond: 0,
    peerMessagesPerSecond: 0,
    retries: [],
    drops: [],
  },
  invariants: {
    ranTwice: 0,
    untrueNotRun: 0,
    wrongAnswers: 0,
    coldOverloads: 0,
  },
  maxSendDelayMs: 0,
  loadAverage: 0,
};

function makeResultWithCounterRatio(ratio: number): ScenarioResult {
  const counter = { ...RESULT.summary.total, group: "counter", ratio };
  return { ...RESULT, summary: { ...RESULT.summary, byClass: [counter] } };
}

function makeResultWithThroughput(attainedPerSecond: number): ScenarioResult {
  return {
    ...RESULT,
    scenario: "overload",
    summary: { ...RESULT.summary, attainedPerSecond },
  };
}

function findUnmetLabels(results: readonly ScenarioResult[]): string[] {
  return checkResults(results, readBounds())
    .filter((check) => !check.isMet)
    .map((check) => check.label);
}

describe("checkResults", () => {
  it("requires the target counter attainment at 70% load", () => {
    expect(findUnmetLabels([makeResultWithCounterRatio(0.995)])).toEqual([]);
    expect(findUnmetLabels([makeResultWithCounterRatio(0.994)]).length).toEqual(
      1,
    );
  });

  it("reports each count that must be 0 but is not", () => {
    const invariants = { ...RESULT.invariants, ranTwice: 1, coldOverloads: 2 };
    expect(findUnmetLabels([{ ...makeResultWithCounterRatio(1), invariants }]))
      .toEqual([
        "consorzio steady at 70%: ran twice",
        "consorzio steady at 70%: cold overloads",
      ]);
  });

  it("reports a throughput below 95% of full load in overload", () => {
    expect(
      findUnmetLabels([
        makeResultWithThroughput(100),
        makeResultWithThroughput(95),
      ]),
    ).toEqual([]);
    expect(
      findUnmetLabels([
        makeResultWithThroughput(100),
        makeResultWithThroughput(94),
      ]).length,
    )
      .toEqual(1);
  });
});

describe("checkOverhead", () => {
  it("allows three times the target on a shared machine", () => {
    const none = { medianMs: 0, p99Ms: 0 };
    const unmet = [{ medianMs: 6, p99Ms: 30 }, { medianMs: 7, p99Ms: 31 }]
      .map((added) =>
        checkOverhead({
          calls: 1,
          straight: none,
          stage: none,
          request: none,
          added,
        }, readBounds()).filter((check) => !check.isMet).length
      );
    expect(unmet).toEqual([0, 2]);
  });
});
