import { expect } from "earl";
import { describe, it } from "node:test";
import {
  BatchRateLimiter,
  FLEET_WRITES_PER_SECOND,
} from "./batch_rate_limiter.js";

const SETTINGS = { partitions: 16, gather_min_ms: 2, gather_max_ms: 200 };

/** Writes as often as the limiter permits during the given time. */
function countWrites(
  rateLimiter: BatchRateLimiter,
  durationMs: number,
): number {
  let writes = 0;
  for (let nowMs = 0; nowMs < durationMs; writes++) {
    nowMs += rateLimiter.reserveDelayMs(nowMs);
  }
  return writes;
}

describe("BatchRateLimiter", () => {
  it("returns the minimum delay after an idle period", () => {
    const rateLimiter = new BatchRateLimiter({
      settings: SETTINGS,
      partitions: 16,
    });
    expect(rateLimiter.reserveDelayMs(0)).toEqual(2);
    expect(rateLimiter.reserveDelayMs(10_000)).toEqual(2);
  });

  it("limits a busy partition to its share of all daemons' writes", () => {
    const rateLimiter = new BatchRateLimiter({
      settings: SETTINGS,
      partitions: 16,
    });
    const seconds = 60;
    const share = FLEET_WRITES_PER_SECOND * seconds / 16;
    const writes = countWrites(rateLimiter, seconds * 1000);
    expect(writes).toBeLessThanOrEqual(share + 8);
    expect(writes).toBeGreaterThan(share * 0.9);
  });

  it("never returns more than the maximum delay", () => {
    const rateLimiter = new BatchRateLimiter({
      settings: SETTINGS,
      partitions: 4096,
    });
    const delays = Array.from(
      { length: 50 },
      () => rateLimiter.reserveDelayMs(0),
    );
    expect(Math.max(...delays)).toEqual(200);
  });
});
