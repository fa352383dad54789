import { expect } from "earl";
import { describe, it } from "node:test";
import { findMaxServableShares } from "./max_servable_shares.js";
import type { StageLoad } from "./stage_load.js";

/** A full call of 10 items takes 300 ms: 33.3 items/s per server. */
const SERVICE = {
  name: "encode",
  servers: 3,
  maxItems: 10,
  callMs: 200,
  itemMs: 10,
  resultRoomBytes: 1_000_000,
};

function makeLoad(stage: { resultBytes: number; heldMs: number }): StageLoad {
  const stages = [{ service: "encode", items: 2, ...stage }];
  return {
    services: [SERVICE],
    classes: [
      { name: "urgent", perSecond: 10, worth: 3, stages },
      { name: "usual", perSecond: 30, worth: 1, stages },
    ],
    phases: [],
  };
}

const NO_RESULT_STORAGE = { resultBytes: 0, heldMs: 0 };
const NORMAL_PHASE = { name: "calm", factors: {}, lost: {} };

function isNear(value: number | undefined, expected: number): boolean {
  return Math.abs((value ?? NaN) - expected) < 1e-6;
}

describe("findMaxServableShares", () => {
  it("serves the whole load if the server time suffices", () => {
    const { shares, worthShare, demands } = findMaxServableShares(
      makeLoad(NO_RESULT_STORAGE),
      NORMAL_PHASE,
    );
    expect([...shares.values()]).toEqual([1, 1]);
    expect(worthShare).toEqual(1);
    expect(isNear(demands[0]?.time, 0.8)).toEqual(true);
  });

  it("serves less of the class with the lowest worth in a burst", () => {
    const { shares } = findMaxServableShares(makeLoad(NO_RESULT_STORAGE), {
      ...NORMAL_PHASE,
      factors: { urgent: 2, usual: 2 },
    });
    expect(shares.get("urgent")).toEqual(1);
    expect(isNear(shares.get("usual"), 0.5)).toEqual(true);
  });

  it("subtracts lost servers from the capacity", () => {
    const { demands } = findMaxServableShares(makeLoad(NO_RESULT_STORAGE), {
      ...NORMAL_PHASE,
      lost: { encode: 1 },
    });
    expect(isNear(demands[0]?.time, 1.2)).toEqual(true);
  });

  it("limits the shares by the storage for results", () => {
    const load = makeLoad({ resultBytes: 100_000, heldMs: 750 });
    const { shares, demands } = findMaxServableShares(load, NORMAL_PHASE);
    expect(isNear(demands[0]?.room, 2)).toEqual(true);
    expect(shares.get("urgent")).toEqual(1);
    expect(isNear(shares.get("usual"), 1 / 3)).toEqual(true);
  });
});
