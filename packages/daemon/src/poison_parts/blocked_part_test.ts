import {
  type AttemptId,
  type SuspectId,
  toId,
} from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { describe, it } from "node:test";
import { BlockedPart } from "./blocked_part.js";

const FIRST_WAIT_MS = 10_000;
const SECOND_WAIT_MS = 30_000;
const LONGEST_WAIT_MS = 600_000;
const PROBE = toId<AttemptId>("probe");
const OTHER = toId<AttemptId>("other");

/** Blocked at time 0, with the last crash at that time. */
function makeBlocked(): BlockedPart {
  return new BlockedPart({
    part: toId<SuspectId>("part"),
    crashes: 3,
    failedProbes: 0,
    lastCrashAgeMs: 0,
  }, 0);
}

describe("a blocked part", () => {
  it("is probed less often after each failed probe", () => {
    const block = makeBlocked();
    let crashedAtMs = 0;
    for (const waitMs of [FIRST_WAIT_MS, SECOND_WAIT_MS, LONGEST_WAIT_MS]) {
      const dueAtMs = crashedAtMs + waitMs;
      expect(block.canProbe(PROBE, dueAtMs - 1)).toEqual(false);
      expect(block.retryAfterMs(crashedAtMs)).toEqual(waitMs);
      expect(block.canProbe(PROBE, dueAtMs)).toEqual(true);
      block.admitProbe(PROBE, dueAtMs);
      block.recordSent(PROBE);
      crashedAtMs = dueAtMs + 50;
      block.recordCrash(crashedAtMs);
      block.recordEnded(PROBE);
    }
    expect(block.canProbe(PROBE, crashedAtMs + LONGEST_WAIT_MS - 1))
      .toEqual(false);
    expect(block.failedProbes).toEqual(3);
  });

  it("isn't probed less often because of requests in flight when it was blocked", () => {
    const block = makeBlocked();
    block.recordCrash(200);
    block.recordCrash(900);
    expect(block.failedProbes).toEqual(0);
    expect(block.canProbe(PROBE, 900 + FIRST_WAIT_MS)).toEqual(true);
  });

  it("has one probe at a time", () => {
    const block = makeBlocked();
    block.admitProbe(PROBE, FIRST_WAIT_MS);
    expect(block.canProbe(OTHER, FIRST_WAIT_MS + 1500)).toEqual(false);
    block.recordSent(PROBE);
    expect(block.canProbe(OTHER, 10 * FIRST_WAIT_MS)).toEqual(false);
    block.recordEnded(OTHER);
    expect(block.canProbe(OTHER, 10 * FIRST_WAIT_MS)).toEqual(false);
    block.recordEnded(PROBE);
    expect(block.canProbe(OTHER, 10 * FIRST_WAIT_MS)).toEqual(true);
  });

  it("isn't left without probes by one that is never sent", () => {
    const block = makeBlocked();
    block.admitProbe(PROBE, FIRST_WAIT_MS);
    expect(block.canProbe(OTHER, FIRST_WAIT_MS + 2000)).toEqual(true);
  });

  it("is unused once nobody asks for it", () => {
    const block = makeBlocked();
    block.recordRefusal(LONGEST_WAIT_MS - 1);
    expect(block.isUnused(LONGEST_WAIT_MS)).toEqual(false);
    expect(block.isUnused(2 * LONGEST_WAIT_MS)).toEqual(true);
  });
});
