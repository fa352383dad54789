import { expect } from "earl";
import { describe, it } from "node:test";
import { type BurstResult, simulateBurst } from "./testing/stage_bursts.js";

const SEEDS = [11, 12];

function simulate(
  policy: "legacy" | "callerCost",
  load: number,
): readonly BurstResult[] {
  return SEEDS.map((seed) => simulateBurst({ policy, load, seed }));
}

function meanWorth(results: readonly BurstResult[]): number {
  return results.reduce((sum, { all }) => sum + all.worthShare, 0) /
    results.length;
}

describe("the policy callerCost in stage queues", () => {
  it("refuses nothing while all requests can be served", () => {
    for (const { refusals, all } of simulate("callerCost", 1)) {
      expect(refusals).toEqual(0);
      expect(all.onTimeShare > 0.99).toEqual(true);
    }
  });

  it("serves more worth and starves nobody in a burst of 2.5 times", () => {
    const legacy = simulate("legacy", 2.5);
    const callerCost = simulate("callerCost", 2.5);
    expect(meanWorth(callerCost) > meanWorth(legacy)).toEqual(true);
    for (const { all, kinds, accounts } of callerCost) {
      for (const { servedShare, requests } of [...kinds, ...accounts]) {
        if (requests < 8) continue;
        expect(servedShare > 0.25 * all.servedShare).toEqual(true);
      }
    }
  });

  /** The order of before served hardly any of the least worthy kind. */
  it("serves every kind a quarter as often as all in a burst of 6 times", () => {
    for (const { kinds } of simulate("legacy", 6)) {
      expect((kinds[2]?.servedShare ?? 0) < 0.05).toEqual(true);
    }
    for (const { all, kinds } of simulate("callerCost", 6)) {
      for (const { servedShare } of kinds) {
        expect(servedShare >= 0.25 * all.servedShare).toEqual(true);
      }
    }
  });

  it("serves large requests half as often as others in a burst of 6 times", () => {
    for (const { kinds, largest } of simulate("callerCost", 6)) {
      for (const [position, { servedShare }] of kinds.entries()) {
        const largeShare = largest[position]?.servedShare ?? 0;
        expect(largeShare >= 0.5 * servedShare).toEqual(true);
      }
    }
  });

  it("serves no kind less often than a less urgent one in a burst of 6 times", () => {
    for (const { inversion } of simulate("callerCost", 6)) {
      expect(inversion < 0.05).toEqual(true);
    }
  });
});
