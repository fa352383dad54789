import { expect } from "earl";
import { describe, it } from "node:test";
import { SlidingRetryBudget } from "../placement/sliding_retry_budget.js";
import { RetryPrecedence } from "./retry_precedence.js";

/** Retries that claims of both worths get while a service fails widely. */
function countRetries(withWorth: boolean): { urgent: number; other: number } {
  const budget = new SlidingRetryBudget(
    () => ({ windowMs: 10_000, ratio: 0.1, slack: 0 }),
    () => 1,
  );
  const counts = { urgent: 0, other: 0 };
  for (let n = 0; n < 1000; n++) {
    const nowMs = n * 5;
    budget.recordRequest(nowMs);
    const isUrgent = n % 10 === 0;
    const worth = isUrgent ? 1 : 0.1;
    if (budget.tryRetry(nowMs, withWorth ? worth : undefined)) {
      counts[isUrgent ? "urgent" : "other"] += 1;
    }
  }
  return counts;
}

describe("RetryPrecedence", () => {
  it("keeps the last retries for the requests that are worth most", () => {
    const before = countRetries(false);
    const after = countRetries(true);
    expect(after.urgent > 2 * before.urgent).toEqual(true);
    // 0.7 of a tenth of 1,000 requests is allowed.
    expect(before.urgent + before.other).toEqual(70);
    expect(after.urgent + after.other >= 68).toEqual(true);
  });

  it("withholds no retry while half of them are left or claims are equal", () => {
    const precedence = new RetryPrecedence();
    const many = { leftShare: 0.6, refillPerMs: 0.1 };
    const few = { leftShare: 0.1, refillPerMs: 0.1 };
    for (let n = 0; n < 50; n++) {
      expect(precedence.mayRetry(1, many, n)).toEqual(true);
    }
    expect(precedence.mayRetry(0.1, many, 50)).toEqual(true);
    expect(precedence.mayRetry(1, few, 51)).toEqual(true);
    expect(precedence.mayRetry(0.1, few, 52)).toEqual(false);
  });
});
