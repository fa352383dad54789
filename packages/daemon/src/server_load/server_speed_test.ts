import { expect } from "earl";
import { describe, it } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ServerSpeed, ServiceSpeed } from "./server_speed.js";

const random = xoroshiro128plus(5);

function between(low: number, high: number): number {
  return low + (high - low) * uniformFloat64(random);
}

/** Records calls a second apart; returns the time of the last one. */
function recordCalls(
  speed: ServerSpeed,
  calls: number,
  options: {
    readonly slowness: number;
    /** The slowdown that the server states for a true one. */
    readonly state: (slowdown: number) => number;
    readonly startMs?: number;
  },
): number {
  let nowMs = options.startMs ?? 0;
  for (let n = 0; n < calls; n++) {
    nowMs += 1000;
    const slowdown = between(0.7, 2.5);
    speed.record({
      ratio: options.slowness * slowdown * between(0.9, 1.1),
      slowdown: options.state(slowdown),
    }, nowMs);
  }
  return nowMs;
}

function isNear(actual: number, expected: number, tolerance = 0.2): boolean {
  return Math.abs(Math.log(actual / expected)) < Math.log(1 + tolerance);
}

describe("ServerSpeed", () => {
  it("believes the stated slowdown of a server without calls", () => {
    const speed = new ServerSpeed(new ServiceSpeed());
    expect(isNear(speed.slowness({ value: 2, weight: 1 }, 0), 2, 0.001))
      .toEqual(true);
    expect(isNear(speed.slowness({ value: 2, weight: 0 }, 0), 1, 0.001))
      .toEqual(true);
  });

  it("tells a server's own speed from the slowdown of its machine", () => {
    const service = new ServiceSpeed();
    const slow = new ServerSpeed(service);
    const fast = new ServerSpeed(service);
    const nowMs = recordCalls(slow, 10, { slowness: 1.8, state: (x) => x });
    recordCalls(fast, 10, { slowness: 0.8, state: (x) => x });
    for (const value of [0.8, 1, 2]) {
      const stated = { value, weight: 1 };
      expect(isNear(slow.slowness(stated, nowMs), 1.8 * value)).toEqual(true);
      expect(isNear(fast.slowness(stated, nowMs), 0.8 * value)).toEqual(true);
    }
  });

  it("doesn't condemn a server for one slow call", () => {
    const service = new ServiceSpeed();
    recordCalls(new ServerSpeed(service), 30, { slowness: 1, state: () => 1 });
    const speed = new ServerSpeed(service);
    speed.record({ ratio: 5, slowdown: 1 }, 30_000);
    expect(speed.slowness(undefined, 30_000) < 3).toEqual(true);
  });

  it("detects slowdowns that don't show in the durations of calls", () => {
    const service = new ServiceSpeed();
    const speed = new ServerSpeed(service);
    let nowMs = recordCalls(speed, 10, { slowness: 1, state: (x) => x });
    expect(speed.isPredictive(nowMs)).toEqual(true);
    nowMs = recordCalls(speed, 15, {
      slowness: 1,
      state: () => between(0.25, 4),
      startMs: nowMs,
    });
    nowMs = recordCalls(speed, 20, {
      slowness: 1,
      state: () => 0.25,
      startMs: nowMs,
    });
    expect(speed.isPredictive(nowMs)).toEqual(false);
    const claimed = speed.slowness({ value: 0.25, weight: 1 }, nowMs);
    expect(isNear(claimed, 1.5, 0.5)).toEqual(true);
  });

  it("gives a slowdown no effect that a server always states", () => {
    const speed = new ServerSpeed(new ServiceSpeed());
    const nowMs = recordCalls(speed, 20, { slowness: 1, state: () => 0.25 });
    const claimed = speed.slowness({ value: 0.25, weight: 1 }, nowMs);
    expect(claimed > 1.1).toEqual(true);
  });

  it("forgets with time what it has learned", () => {
    const service = new ServiceSpeed();
    const speed = new ServerSpeed(service);
    const nowMs = recordCalls(speed, 20, { slowness: 3, state: () => 1 });
    expect(speed.slowness(undefined, nowMs) > 2.5).toEqual(true);
    const later = speed.slowness(undefined, nowMs + 600_000);
    expect(later < 1.2).toEqual(true);
  });
});
