import { expect } from "earl";
import { describe, it } from "node:test";
import type { LoadRecord } from "./load_record.js";
import { summarize } from "./summary.js";

const ANSWERED: LoadRecord = {
  serial: 0,
  sendDelayMs: 0,
  atMs: 0,
  pipeline: "lookup",
  urgency: "counter",
  clientAccount: "small",
  vmId: "vm-1",
  latencyMs: 20,
  isWithinDeadline: true,
  outcome: { kind: "answered", totalMs: 18, stages: [] },
};
const REFUSED: LoadRecord = {
  ...ANSWERED,
  clientAccount: "large",
  isWithinDeadline: false,
  outcome: { kind: "refused", status: 503, reason: "queueFull", notRun: true },
};
const LATE: LoadRecord = { ...ANSWERED, isWithinDeadline: false };
const WRONG: LoadRecord = {
  ...LATE,
  outcome: { kind: "wrongAnswer", detail: "other" },
};

describe("summarize", () => {
  const summary = summarize([ANSWERED, ANSWERED, REFUSED, LATE, WRONG], 2000);

  it("counts only correct answers within the deadline as attained", () => {
    expect(summary.total.ratio).toEqual(2 / 5);
    expect(summary.attainedPerSecond).toEqual(1);
    expect(summary.lateAnswers).toEqual(1);
    expect(summary.wrongAnswers).toEqual(1);
  });

  it("groups by client account and by refusal reason", () => {
    expect(summary.byClientAccount.map(({ group, sent }) => [group, sent]))
      .toEqual([["large", 1], ["small", 4]]);
    expect(summary.refusals).toEqual([{ name: "queueFull", count: 1 }]);
    expect(summary.refusedNotRun).toEqual(1);
  });
});
