import { expect } from "earl";
import { describe, it } from "node:test";
import { ColdStart, DEFAULT_COLD_START, SIGN_GRACE_MS } from "./cold_start.js";

describe("ColdStart", () => {
  it("falls over above its limit while cold and warms by completions", () => {
    const cold = new ColdStart({
      ...DEFAULT_COLD_START,
      isColdAtStart: true,
      coldLimit: 1,
      warmAfterCompletions: 2,
    });
    expect(cold.arrive(0).kind).toEqual("admitted");
    expect(cold.arrive(1).kind).toEqual("overload");
    expect(cold.record().coldOverloads).toEqual(1);
    cold.leave(false);
    for (let run = 0; run < 4; run++) {
      expect(cold.arrive(run).kind).toEqual("admitted");
      cold.leave(true);
    }
    expect(cold.isCold).toEqual(false);
  });

  it("counts arrivals apart until a sign of sudden cold could be seen", () => {
    const cold = new ColdStart({ ...DEFAULT_COLD_START, coldLimit: 1 });
    cold.arrive(0);
    cold.arrive(0);
    cold.turnCold();
    expect(cold.record().coldOverloads).toEqual(0);
    expect(cold.arrive(1000).kind).toEqual("refused");
    expect(cold.arrive(1000 + SIGN_GRACE_MS - 1).kind).toEqual("refused");
    expect(cold.arrive(1000 + SIGN_GRACE_MS).kind).toEqual("overload");
    expect(cold.record().suddenColdArrivals).toEqual(2);
    expect(cold.record().coldOverloads).toEqual(1);
  });
});
