import { expect } from "earl";
import { describe, it } from "node:test";
import { canFinishBeforeExit } from "./shutdown_admission.js";

const SHUTDOWN = { startedAtMs: 1000, endsAtMs: 8500 };
/** A stream that mostly takes a second, and may take fifteen. */
const STREAM = { highEstimateMs: 1000, limitMs: 15_000 };
const LOOKUP = { highEstimateMs: 100, limitMs: 600 };

describe("canFinishBeforeExit", () => {
  it("takes what is likely to end in time while the balancer may not know", () => {
    expect(canFinishBeforeExit(SHUTDOWN, STREAM, 1100)).toEqual(true);
    expect(
      canFinishBeforeExit(SHUTDOWN, { ...STREAM, highEstimateMs: 8000 }, 1100),
    )
      .toEqual(false);
  });

  it("takes no stream later, however short most of them are", () => {
    expect(canFinishBeforeExit(SHUTDOWN, STREAM, 3500)).toEqual(false);
    expect(canFinishBeforeExit(SHUTDOWN, STREAM, 4362)).toEqual(false);
  });

  it("takes short requests as long as they end at their own limit", () => {
    expect(canFinishBeforeExit(SHUTDOWN, LOOKUP, 7800)).toEqual(true);
    expect(canFinishBeforeExit(SHUTDOWN, LOOKUP, 7950)).toEqual(false);
  });
});
