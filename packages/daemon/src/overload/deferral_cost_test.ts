import { expect } from "earl";
import { describe, it } from "node:test";
import {
  compareDeferral,
  type DeferrableWork,
  deferralCost,
} from "./deferral_cost.js";

const TIME = { nowMs: 0, turnMs: 300 };

function makeWork(work: Partial<DeferrableWork> = {}): DeferrableWork {
  return {
    priority: 0,
    relativeSize: 1,
    objectiveAtMs: 2000,
    deadlineAtMs: 8000,
    pathMs: 500,
    workLeftMs: 40,
    precedence: 1,
    ...work,
  };
}

describe("deferralCost", () => {
  it("never ranks work below otherwise equal work that is worth less", () => {
    const base = deferralCost(makeWork(), TIME);
    for (
      const lesser of [
        makeWork({ priority: 1 }),
        makeWork({ relativeSize: 0.4 }),
        makeWork({ workLeftMs: 80 }),
      ]
    ) {
      const cost = deferralCost(lesser, TIME);
      expect(cost.refusal < base.refusal).toEqual(true);
      expect(compareDeferral(base, cost) < 0).toEqual(true);
    }
  });

  it("keeps work from waiting until its objective is missed", () => {
    const fresh = deferralCost(makeWork(), TIME);
    const aged = deferralCost(makeWork(), { ...TIME, nowMs: 1300 });
    expect(aged.delay > 2 * fresh.delay).toEqual(true);
  });

  it("ranks late work below work on time and useless work last", () => {
    const onTime = deferralCost(makeWork(), TIME);
    const late = deferralCost(makeWork(), { ...TIME, nowMs: 2500 });
    const useless = deferralCost(makeWork(), { ...TIME, nowMs: 8000 });
    expect(late.refusal).toEqual(onTime.refusal / 4);
    expect(compareDeferral(onTime, late) < 0).toEqual(true);
    expect(useless).toEqual({ refusal: 0, delay: 0 });
  });
});
