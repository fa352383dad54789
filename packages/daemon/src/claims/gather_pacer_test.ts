import { expect } from "earl";
import { describe, it } from "node:test";
import { FLEET_WRITES_PER_SECOND, GatherPacer } from "./gather_pacer.js";

const SETTINGS = { partitions: 16, gather_min_ms: 2, gather_max_ms: 200 };

/** Writes as soon as the pacer lets it, for the given time. */
function countWrites(pacer: GatherPacer, durationMs: number): number {
  let writes = 0;
  for (let nowMs = 0; nowMs < durationMs; writes++) {
    nowMs += pacer.takeDelayMs(nowMs);
  }
  return writes;
}

describe("GatherPacer", () => {
  it("waits for the shortest time after a quiet time", () => {
    const pacer = new GatherPacer({ settings: SETTINGS, partitions: 16 });
    expect(pacer.takeDelayMs(0)).toEqual(2);
    expect(pacer.takeDelayMs(10_000)).toEqual(2);
  });

  it("keeps a busy partition within its share of the fleet's writes", () => {
    const pacer = new GatherPacer({ settings: SETTINGS, partitions: 16 });
    const seconds = 60;
    const share = FLEET_WRITES_PER_SECOND * seconds / 16;
    const writes = countWrites(pacer, seconds * 1000);
    expect(writes).toBeLessThanOrEqual(share + 8);
    expect(writes).toBeGreaterThan(share * 0.9);
  });

  it("never gathers for longer than the longest time", () => {
    const pacer = new GatherPacer({ settings: SETTINGS, partitions: 4096 });
    const delays = Array.from({ length: 50 }, () => pacer.takeDelayMs(0));
    expect(Math.max(...delays)).toEqual(200);
  });
});
