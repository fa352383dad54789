import { expect } from "earl";
import { describe, it } from "node:test";
import { LEASE_MARGIN_MS, OwnershipSupport } from "./ownership_support.js";
import { makeVmId } from "./test_support/test_configuration.js";

const LEASE_MS = 1000;
const STARTED_AT_MS = 5000;
const READY_MS = STARTED_AT_MS + LEASE_MS + LEASE_MARGIN_MS;
const A = makeVmId("vm-a");
const B = makeVmId("vm-b");
const NOBODY = new Set<typeof A>();

function makeVoter(): OwnershipSupport {
  return new OwnershipSupport({
    leaseMs: LEASE_MS,
    startedAtMs: STARTED_AT_MS,
  });
}

function question(
  candidate: typeof A,
  nowMs: number,
  leaving: ReadonlySet<typeof A> = NOBODY,
): Parameters<OwnershipSupport["give"]>[0] {
  return { poolKey: "generate@palermo", candidate, leaving, nowMs };
}

describe("OwnershipSupport", () => {
  it("backs nobody until a support of its former life has run out", () => {
    const voter = makeVoter();
    expect(voter.give(question(A, READY_MS - 1))).toEqual(false);
    expect(voter.give(question(A, READY_MS))).toEqual(true);
  });

  it("backs one owner at a time", () => {
    const voter = makeVoter();
    expect(voter.give(question(A, READY_MS))).toEqual(true);
    const endMs = READY_MS + LEASE_MS + LEASE_MARGIN_MS;
    expect(voter.give(question(B, endMs - 1))).toEqual(false);
    expect(voter.give(question(B, endMs))).toEqual(true);
    expect(voter.give(question(A, endMs + 1))).toEqual(false);
  });

  it("is free at once when the owner says that it leaves", () => {
    const voter = makeVoter();
    voter.give(question(A, READY_MS));
    const leaving = new Set([A]);
    expect(voter.give(question(B, READY_MS + 1, leaving))).toEqual(true);
  });

  it("stays bound to an owner that it backed while it was leaving", () => {
    const voter = makeVoter();
    const leaving = new Set([A]);
    expect(voter.give(question(A, READY_MS, leaving))).toEqual(true);
    expect(voter.give(question(B, READY_MS + 1, leaving))).toEqual(false);
  });
});
