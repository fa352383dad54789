import { expect } from "earl";
import { describe, it } from "node:test";
import {
  addCounts,
  bucketOf,
  type CallCounts,
  subtractCounts,
} from "./rollout_observations.js";

const COUNTS: CallCounts = {
  route: "a",
  side: "current",
  server: undefined,
  sent: 5,
  answered: 3,
  failed: 1,
  durations: [0, 3],
};

describe("rollout observations", () => {
  // Wrong buckets would make slow responses look usual.
  it("puts durations into buckets from 1 ms to 120 s", () => {
    const bucketsOf = [0, 1, 1.5, 100, 119_000, 500_000, NaN].map(bucketOf);
    expect(bucketsOf).toEqual([0, 0, 1, 12, 30, 31, 0]);
  });

  it("adds what is counted together, and takes it apart again", () => {
    const more = { ...COUNTS, durations: [1, 0, 2], waiting: [4] };
    const [sum] = addCounts([COUNTS], [more]);
    expect(sum).toEqual({
      ...COUNTS,
      sent: 10,
      answered: 6,
      failed: 2,
      durations: [1, 3, 2],
      waiting: [4],
    });
    expect(subtractCounts([more], [COUNTS])[0]?.durations).toEqual([1, 0, 2]);
    // The reports themselves stay as they are.
    expect(COUNTS.durations).toEqual([0, 3]);
  });

  it("never counts less than nothing after a VM is gone", () => {
    const fewer = { ...COUNTS, sent: 1, durations: [0, 1] };
    const [left] = subtractCounts([fewer], [COUNTS]);
    expect(left).toEqual({
      ...COUNTS,
      sent: 0,
      answered: 0,
      failed: 0,
      durations: [0, 0],
    });
  });
});
