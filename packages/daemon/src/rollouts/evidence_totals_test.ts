import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { EvidenceTotals } from "./evidence_totals.js";
import type { CallCounts } from "./rollout_observations.js";

function makeCounts(failed: number): CallCounts[] {
  const base = { route: "a", side: "candidate", server: undefined } as const;
  return [{ ...base, sent: failed, answered: 0, failed, durations: [] }];
}

function failedOf(totals: EvidenceTotals): number {
  return totals.sum().reduce((sum, { failed }) => sum + failed, 0);
}

describe("EvidenceTotals", () => {
  // Samples that count twice make a verdict surer than it is; bad responses
  // that are forgotten let a faulty version start afresh.
  it("counts nothing twice after a change of the owner", () => {
    const growth = fc.array(fc.tuple(fc.nat(20), fc.nat(20), fc.boolean()), {
      minLength: 1,
      maxLength: 8,
    });
    fc.assert(fc.property(growth, (vms) => {
      const former = new EvidenceTotals();
      const next: number[] = [];
      vms.forEach(([first], vm) => {
        former.record(`${vm}`, makeCounts(first));
      });
      const successor = new EvidenceTotals(former.sum());
      vms.forEach(([first, more, isGone], vm) => {
        next.push(isGone ? first : first + more);
        if (!isGone) successor.record(`${vm}`, makeCounts(first + more));
      });
      const truth = next.reduce((sum, failed) => sum + failed, 0);
      const counted = failedOf(successor);
      expect(counted <= truth).toEqual(true);
      const ofRunning = vms.reduce(
        (sum, [first, more, isGone]) => sum + (isGone ? 0 : first + more),
        0,
      );
      expect(counted >= ofRunning).toEqual(true);
    }));
  });

  it("keeps what a restarted VM counted before", () => {
    const totals = new EvidenceTotals();
    totals.record("vm 1", makeCounts(5));
    totals.retire("vm 1");
    totals.record("vm 2", makeCounts(2));
    expect(failedOf(totals)).toEqual(7);
  });
});
