import { expect } from "earl";
import { describe, it } from "node:test";
import { findPossible } from "./find_possible.js";
import type { StageLoad } from "./stage_load.js";

/** A full call of 10 items takes 300 ms: 33.3 items a second and server. */
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

const NO_ROOM_NEEDED = { resultBytes: 0, heldMs: 0 };
const CALM = { name: "calm", factors: {}, lost: {} };

function nearly(value: number | undefined, expected: number): boolean {
  return Math.abs((value ?? NaN) - expected) < 1e-6;
}

describe("findPossible", () => {
  it("serves all that the servers' time allows", () => {
    const { shares, worthShare, demands } = findPossible(
      makeLoad(NO_ROOM_NEEDED),
      CALM,
    );
    expect([...shares.values()]).toEqual([1, 1]);
    expect(worthShare).toEqual(1);
    expect(nearly(demands[0]?.time, 0.8)).toEqual(true);
  });

  it("gives up what is worth least in a burst", () => {
    const { shares } = findPossible(makeLoad(NO_ROOM_NEEDED), {
      ...CALM,
      factors: { urgent: 2, usual: 2 },
    });
    expect(shares.get("urgent")).toEqual(1);
    expect(nearly(shares.get("usual"), 0.5)).toEqual(true);
  });

  it("counts the servers that are lost", () => {
    const { demands } = findPossible(makeLoad(NO_ROOM_NEEDED), {
      ...CALM,
      lost: { encode: 1 },
    });
    expect(nearly(demands[0]?.time, 1.2)).toEqual(true);
  });

  it("is bound by the room for results where that is short", () => {
    const load = makeLoad({ resultBytes: 100_000, heldMs: 750 });
    const { shares, demands } = findPossible(load, CALM);
    expect(nearly(demands[0]?.room, 2)).toEqual(true);
    expect(shares.get("urgent")).toEqual(1);
    expect(nearly(shares.get("usual"), 1 / 3)).toEqual(true);
  });
});
