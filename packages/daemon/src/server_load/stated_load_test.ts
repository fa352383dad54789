import { expect } from "earl";
import { describe, it } from "node:test";
import { StatedLoad } from "./stated_load.js";

function makeStated(
  load: { running: number; waiting: number; slowdown?: number },
  ownInFlight = 1,
): StatedLoad {
  const stated = new StatedLoad();
  stated.record({ slots: 4, ...load }, { ownInFlight, nowMs: 1000 });
  return stated;
}

describe("StatedLoad", () => {
  it("counts only what isn't this VM's own", () => {
    expect(makeStated({ running: 4, waiting: 3 }, 2).othersLoad(1000))
      .toEqual(5);
  });

  it("never hides this VM's requests when a server states too low a load", () => {
    expect(makeStated({ running: 0, waiting: 0 }, 3).othersLoad(1000))
      .toEqual(0);
  });

  it("gives a statement no weight once it is a second old", () => {
    const stated = makeStated({ running: 5, waiting: 0, slowdown: 2 });
    expect(stated.othersLoad(1500)).toEqual(2);
    expect(stated.othersLoad(2000)).toEqual(0);
    expect(stated.slowdown(1750)).toEqual({ value: 2, weight: 0.25 });
    expect(stated.slowdown(2500)?.weight).toEqual(0);
  });

  it("doesn't take three figures for a stated slowdown", () => {
    const stated = makeStated({ running: 1, waiting: 0 });
    expect(stated.hasStatedSlowdown).toEqual(false);
    expect(stated.slowdown(1000)).toEqual(undefined);
  });

  it("bounds the effect of an absurd slowdown", () => {
    expect(
      makeStated({ running: 1, waiting: 0, slowdown: 0.01 }).slowdown(1000)
        ?.value,
    ).toEqual(0.25);
  });
});
