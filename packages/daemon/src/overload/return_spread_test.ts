import { expect } from "earl";
import { describe, it } from "node:test";
import { ReturnSpread } from "./return_spread.js";

describe("ReturnSpread", () => {
  it("doesn't send all clients of one burst back at the same time", () => {
    const spread = new ReturnSpread();
    const delaysMs = Array.from({ length: 100 }, () =>
      spread.book({
        nowMs: 1000,
        earliestMs: 250,
        latestMs: 3000,
        workMs: 40,
        capacity: 4,
      }));
    // 100 requests of 40 ms need 3,333 ms of 0.3 * 4 cores.
    const sooner = delaysMs.filter((delayMs) => delayMs < 1600);
    expect(sooner.length > 35 && sooner.length < 65).toEqual(true);
    expect(Math.min(...delaysMs)).toEqual(250);
    expect(Math.max(...delaysMs) <= 3000).toEqual(true);
  });

  it("never exceeds the time that the client can wait", () => {
    const spread = new ReturnSpread();
    for (let n = 0; n < 50; n++) {
      const delayMs = spread.book({
        nowMs: n,
        earliestMs: 100,
        latestMs: 130,
        workMs: 1000,
        capacity: 0.25,
      });
      expect(delayMs >= 100 && delayMs <= 130).toEqual(true);
    }
  });
});
