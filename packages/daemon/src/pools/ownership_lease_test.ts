import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { isMajority } from "./electorate.js";
import { leaseEnd, OwnershipLease } from "./ownership_lease.js";
import { makeVmId } from "./testing/test_configuration.js";

const LEASE_MS = 1000;
const VMS = ["vm-1", "vm-2", "vm-3", "vm-4"].map(makeVmId);
const [FIRST = makeVmId(""), SECOND = FIRST, THIRD = FIRST] = VMS;

describe("leaseEnd", () => {
  it("counts from the oldest heartbeat that the majority needs", () => {
    const sentAtMs = new Map([[FIRST, 500], [SECOND, 300], [THIRD, 100]]);
    const support = { self: FIRST, leaseMs: LEASE_MS, sentAtMs };
    expect(leaseEnd({ ...support, electorate: VMS.slice(0, 3) })).toEqual(1300);
    expect(leaseEnd({ ...support, electorate: VMS })).toEqual(1300);
  });

  it("requires the owner's own support and a majority", () => {
    const support = { leaseMs: LEASE_MS, electorate: VMS.slice(0, 3) };
    const sentAtMs = new Map([[SECOND, 300], [THIRD, 100]]);
    expect(leaseEnd({ ...support, self: FIRST, sentAtMs })).toEqual(-Infinity);
    const alone = new Map([[FIRST, 300]]);
    expect(leaseEnd({ ...support, self: FIRST, sentAtMs: alone }))
      .toEqual(-Infinity);
  });

  it("never lasts longer than a lease after the newest heartbeat", () => {
    fc.assert(
      fc.property(
        fc.array(fc.nat(10_000), { minLength: 1, maxLength: 4 }),
        (times) => {
          const sentAtMs = new Map(
            times.map((time, index) => [VMS[index] ?? FIRST, time]),
          );
          const end = leaseEnd({
            self: FIRST,
            electorate: VMS,
            sentAtMs,
            leaseMs: LEASE_MS,
          });
          expect(end <= Math.max(...times) + LEASE_MS).toEqual(true);
        },
      ),
      { seed: 4 },
    );
  });
});

describe("isMajority", () => {
  it("is never true for both of two disjoint sets", () => {
    fc.assert(
      fc.property(
        fc.uniqueArray(fc.nat(50), { minLength: 1, maxLength: 9 }),
        fc.infiniteStream(fc.boolean()),
        (numbers, sides) => {
          const electorate = numbers.map((n) => makeVmId(`vm-${n}`)).sort();
          const left = new Set(
            electorate.filter(() => sides.next().value === true),
          );
          const right = new Set(electorate.filter((vm) => !left.has(vm)));
          const both = isMajority(left, electorate) &&
            isMajority(right, electorate);
          expect(both).toEqual(false);
        },
      ),
      { seed: 5 },
    );
  });
});

describe("OwnershipLease", () => {
  it("ignores replies to heartbeats sent before the lease was given up", () => {
    const lease = new OwnershipLease(LEASE_MS, 0);
    lease.recordSupport(FIRST, 100);
    expect(lease.untilMs(FIRST, [FIRST])).toEqual(1100);
    lease.giveUp(200);
    lease.recordSupport(FIRST, 150);
    expect(lease.untilMs(FIRST, [FIRST])).toEqual(-Infinity);
  });
});
