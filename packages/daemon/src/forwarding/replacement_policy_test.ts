import { expect } from "earl";
import { describe, it } from "node:test";
import {
  decideReplacement,
  SILENCE_LIMIT_MS,
  type StreamCondition,
} from "./replacement_policy.js";

const SILENT: StreamCondition = {
  lastReceivedAtMs: 100,
  isResumable: true,
  runs: 1,
  maxAttempts: 2,
  refusals: 0,
  hasServer: () => true,
  hasRetry: () => true,
};
const SILENT_AT_MS = 100 + SILENCE_LIMIT_MS;

describe("decideReplacement", () => {
  it("starts a replacement only after the silence of a sound server", () => {
    expect(decideReplacement(SILENT, SILENT_AT_MS - 1)).toEqual("notSilent");
    expect(decideReplacement(SILENT, SILENT_AT_MS)).toEqual("start");
    expect(decideReplacement(SILENT, SILENT.lastReceivedAtMs + 1200))
      .toEqual("notSilent");
  });

  it("starts none that couldn't go on with the stream", () => {
    const cases: readonly [Partial<StreamCondition>, string][] = [
      [{ isResumable: false }, "notResumable"],
      [{ runs: 2 }, "attemptsSpent"],
      [{ refusals: 4 }, "tooManyRefusals"],
      [{ hasServer: () => false }, "noServer"],
      [{ hasRetry: () => false }, "retryBudget"],
    ];
    for (const [change, decision] of cases) {
      const condition = { ...SILENT, ...change };
      expect(decideReplacement(condition, SILENT_AT_MS))
        .toEqual(decision as never);
    }
  });
});
