import { expect } from "earl";
import { describe, it } from "node:test";
import { type ArrivalStream, drawArrivals } from "./arrivals.js";

const STREAM: ArrivalStream = {
  startMs: 1000,
  endMs: 101_000,
  requestsPerSecond: 100,
  pipelines: [{ name: "often", weight: 3 }, { name: "seldom", weight: 1 }],
  clientAccounts: [{ name: "only", weight: 1 }],
};

describe("drawArrivals", () => {
  it("draws the same arrivals only from the same seed", () => {
    expect(drawArrivals([STREAM], 1)).toEqual(drawArrivals([STREAM], 1));
    expect(drawArrivals([STREAM], 1)).not.toEqual(drawArrivals([STREAM], 2));
  });

  it("keeps the mean rate and the weights within 4 standard deviations", () => {
    const arrivals = drawArrivals([STREAM], 7);
    const expected = 10_000;
    expect(Math.abs(arrivals.length - expected) < 4 * Math.sqrt(expected))
      .toEqual(true);
    const often =
      arrivals.filter((arrival) => arrival.pipeline === "often").length;
    const deviation = Math.sqrt(arrivals.length * 0.75 * 0.25);
    expect(Math.abs(often - 0.75 * arrivals.length) < 4 * deviation)
      .toEqual(true);
  });

  it("merges streams by time and numbers their arrivals in order", () => {
    const lateStream = { ...STREAM, startMs: 50_000 };
    const arrivals = drawArrivals([lateStream, STREAM], 3);
    for (const [index, arrival] of arrivals.entries()) {
      expect(arrival.serial).toEqual(index);
      const next = arrivals[index + 1];
      if (next !== undefined) expect(next.atMs >= arrival.atMs).toEqual(true);
    }
  });
});
