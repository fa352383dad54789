import { expect } from "earl";
import { describe, it } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { RouteCosts } from "./route_costs.js";

const INTERVAL_MS = 250;

describe("RouteCosts", () => {
  it("tells routes of different cost and the base load apart", () => {
    const costs = new RouteCosts();
    const random = xoroshiro128plus(5);
    for (let n = 0; n < 2000; n++) {
      let usedMs = 10;
      for (const [route, costMs] of [["small", 4], ["large", 30]] as const) {
        const count = Math.floor(uniformFloat64(random) * 4);
        for (let request = 0; request < count; request++) {
          costs.recordStart(route);
          costs.recordEnd(route);
        }
        usedMs += count * costMs;
      }
      costs.recordUse(usedMs, INTERVAL_MS);
    }
    expect(Math.abs((costs.costMs("small") ?? 0) - 4) < 1).toEqual(true);
    expect(Math.abs((costs.costMs("large") ?? 0) - 30) < 2).toEqual(true);
  });

  it("doesn't know the cost of a route that was hardly used", () => {
    const costs = new RouteCosts();
    costs.recordStart("rare");
    costs.recordUse(100, INTERVAL_MS);
    expect(costs.costMs("rare")).toEqual(undefined);
    expect(costs.costMs("unused")).toEqual(undefined);
  });
});
