import { expect } from "earl";
import { describe, it } from "node:test";
import { OverloadPolicy } from "./overload_policy.js";

describe("OverloadPolicy", () => {
  /** Deployments whose servers don't state it would be served differently. */
  it("stays as before until a server states how long work takes", () => {
    const policy = new OverloadPolicy();
    expect(policy.isCallerCost).toEqual(false);
    policy.recordStatedWorkTime("peer");
    expect(policy.isCallerCost).toEqual(true);
    expect(policy.admitsByLag).toEqual(false);
  });

  it("is left to the operator who has set it", () => {
    const policy = new OverloadPolicy("legacy");
    policy.recordStatedWorkTime("server");
    expect(policy.isCallerCost).toEqual(false);
    expect(policy.haveServersStatedWorkTime).toEqual(true);
    expect(new OverloadPolicy("callerCost").isCallerCost).toEqual(true);
  });
});
