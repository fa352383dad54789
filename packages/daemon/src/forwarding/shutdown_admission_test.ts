import { expect } from "earl";
import { describe, it } from "node:test";
import { canFinishBeforeExit } from "./shutdown_admission.js";

const SHUTDOWN = { startedAtMs: 1000, endsAtMs: 8500 };
/** A stream that usually takes 1 s and may take 15 s. */
const STREAM = { highEstimateMs: 1000, limitMs: 15_000 };
const LOOKUP = { highEstimateMs: 100, limitMs: 600 };

describe("canFinishBeforeExit", () => {
  it("accepts requests likely to finish in time before the load balancer reacts", () => {
    expect(canFinishBeforeExit(SHUTDOWN, STREAM, 1100)).toEqual(true);
    expect(
      canFinishBeforeExit(SHUTDOWN, { ...STREAM, highEstimateMs: 8000 }, 1100),
    )
      .toEqual(false);
  });

  it("refuses a stream after the load balancer reacts, as its limit exceeds the time left", () => {
    expect(canFinishBeforeExit(SHUTDOWN, STREAM, 3500)).toEqual(false);
    expect(canFinishBeforeExit(SHUTDOWN, STREAM, 4362)).toEqual(false);
  });

  it("accepts short requests whose time limit ends before the exit", () => {
    expect(canFinishBeforeExit(SHUTDOWN, LOOKUP, 7800)).toEqual(true);
    expect(canFinishBeforeExit(SHUTDOWN, LOOKUP, 7950)).toEqual(false);
  });
});
