import { expect } from "earl";
import { describe, it } from "node:test";
import { LEASE_MARGIN_MS, OwnershipSupport } from "./ownership_support.js";
import { makeVmId } from "./testing/test_configuration.js";

const LEASE_MS = 1000;
const STARTED_AT_MS = 5000;
const READY_MS = STARTED_AT_MS + LEASE_MS + LEASE_MARGIN_MS;
const CANDIDATE_A = makeVmId("vm-a");
const CANDIDATE_B = makeVmId("vm-b");
const NO_LEAVING_MEMBERS = new Set<typeof CANDIDATE_A>();

function makeVoter(): OwnershipSupport {
  return new OwnershipSupport({
    leaseMs: LEASE_MS,
    startedAtMs: STARTED_AT_MS,
  });
}

function makeSupportRequest(
  candidate: typeof CANDIDATE_A,
  nowMs: number,
  leaving: ReadonlySet<typeof CANDIDATE_A> = NO_LEAVING_MEMBERS,
): Parameters<OwnershipSupport["grantSupport"]>[0] {
  return { poolKey: "generate@palermo", candidate, leaving, nowMs };
}

describe("OwnershipSupport", () => {
  it("supports no owner until support given before a restart has expired", () => {
    const voter = makeVoter();
    expect(voter.grantSupport(makeSupportRequest(CANDIDATE_A, READY_MS - 1)))
      .toEqual(
        false,
      );
    expect(voter.grantSupport(makeSupportRequest(CANDIDATE_A, READY_MS)))
      .toEqual(true);
  });

  it("supports one owner at a time", () => {
    const voter = makeVoter();
    expect(voter.grantSupport(makeSupportRequest(CANDIDATE_A, READY_MS)))
      .toEqual(true);
    const endMs = READY_MS + LEASE_MS + LEASE_MARGIN_MS;
    expect(voter.grantSupport(makeSupportRequest(CANDIDATE_B, endMs - 1)))
      .toEqual(
        false,
      );
    expect(voter.grantSupport(makeSupportRequest(CANDIDATE_B, endMs))).toEqual(
      true,
    );
    expect(voter.grantSupport(makeSupportRequest(CANDIDATE_A, endMs + 1)))
      .toEqual(
        false,
      );
  });

  it("supports another owner at once when the current one is leaving", () => {
    const voter = makeVoter();
    voter.grantSupport(makeSupportRequest(CANDIDATE_A, READY_MS));
    const leaving = new Set([CANDIDATE_A]);
    expect(
      voter.grantSupport(
        makeSupportRequest(CANDIDATE_B, READY_MS + 1, leaving),
      ),
    )
      .toEqual(true);
  });

  it("keeps its support for an owner that was already leaving at the time", () => {
    const voter = makeVoter();
    const leaving = new Set([CANDIDATE_A]);
    expect(
      voter.grantSupport(makeSupportRequest(CANDIDATE_A, READY_MS, leaving)),
    )
      .toEqual(true);
    expect(
      voter.grantSupport(
        makeSupportRequest(CANDIDATE_B, READY_MS + 1, leaving),
      ),
    )
      .toEqual(false);
  });
});
