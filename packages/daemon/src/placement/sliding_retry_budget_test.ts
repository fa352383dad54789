import { expect } from "earl";
import { describe, it } from "node:test";
import { SlidingRetryBudget } from "./sliding_retry_budget.js";

const LIMITS = { windowMs: 10_000, ratio: 0.2, slack: 50 };

function spendAll(budget: SlidingRetryBudget, nowMs: number): number {
  let spent = 0;
  while (budget.tryRetry(nowMs)) spent += 1;
  return spent;
}

describe("SlidingRetryBudget", () => {
  it("keeps the total of all VMs within the limit without communication", () => {
    const vms = 5;
    const requests = 40;
    let retries = 0;
    for (let vm = 0; vm < vms; vm++) {
      const budget = new SlidingRetryBudget(() => LIMITS, () => 1 / vms);
      for (let i = 0; i < requests; i++) budget.recordRequest(i * 100);
      retries += spendAll(budget, 5000);
    }
    const limit = LIMITS.ratio * vms * requests + LIMITS.slack;
    expect(retries <= limit).toEqual(true);
    expect(retries > limit / 2).toEqual(true);
  });

  it("allows new retries when old ones leave the window", () => {
    const budget = new SlidingRetryBudget(() => LIMITS, () => 1);
    const first = spendAll(budget, 0);
    expect(first > 0).toEqual(true);
    expect(budget.tryRetry(9000)).toEqual(false);
    expect(budget.tryRetry(10_001)).toEqual(true);
  });

  it("stops counting requests that left the window", () => {
    const limits = { ...LIMITS, slack: 0 };
    const budget = new SlidingRetryBudget(() => limits, () => 1);
    for (let i = 0; i < 100; i++) budget.recordRequest(0);
    expect(budget.tryRetry(1)).toEqual(true);
    expect(budget.tryRetry(10_001)).toEqual(false);
  });
});
