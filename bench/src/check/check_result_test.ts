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

function withCounter(ratio: number): ScenarioResult {
  const counter = { ...RESULT.summary.total, group: "counter", ratio };
  return { ...RESULT, summary: { ...RESULT.summary, byClass: [counter] } };
}

function withThroughput(attainedPerSecond: number): ScenarioResult {
  return {
    ...RESULT,
    scenario: "overload",
    summary: { ...RESULT.summary, attainedPerSecond },
  };
}

function findUnmet(results: readonly ScenarioResult[]): string[] {
  return checkResults(results, readBounds())
    .filter((verdict) => !verdict.isMet)
    .map((verdict) => verdict.what);
}

describe("checkResults", () => {
  it("holds counter attainment to the target at 70% load", () => {
    expect(findUnmet([withCounter(0.995)])).toEqual([]);
    expect(findUnmet([withCounter(0.994)]).length).toEqual(1);
  });

  it("names each count that must be 0", () => {
    const invariants = { ...RESULT.invariants, ranTwice: 1, coldOverloads: 2 };
    expect(findUnmet([{ ...withCounter(1), invariants }])).toEqual([
      "consorzio steady at 70%: ran twice",
      "consorzio steady at 70%: cold overloads",
    ]);
  });

  it("sees a collapse in overload", () => {
    expect(findUnmet([withThroughput(100), withThroughput(95)])).toEqual([]);
    expect(findUnmet([withThroughput(100), withThroughput(94)]).length)
      .toEqual(1);
  });
});

describe("checkOverhead", () => {
  it("allows the target times the room for a shared machine", () => {
    const none = { medianMs: 0, p99Ms: 0 };
    const unmet = [{ medianMs: 6, p99Ms: 30 }, { medianMs: 7, p99Ms: 31 }]
      .map((added) =>
        checkOverhead({
          calls: 1,
          straight: none,
          stage: none,
          request: none,
          added,
        }, readBounds()).filter((verdict) => !verdict.isMet).length
      );
    expect(unmet).toEqual([0, 2]);
  });
});
