import { expect } from "earl";
import { describe, it } from "node:test";
import { LatencyRecords } from "./latency_records.js";

const ROUTE_COUNT = 5000;
/** A small part of the memory that the smallest VMs have. */
const MAX_BYTES = 8_000_000;

function recordRoute(latencies: LatencyRecords, pipeline: string): void {
  latencies.record({
    pipeline,
    stage: "whole",
    durationMs: 300,
    callMs: 0,
    tokens: 1,
  });
}

describe("LatencyRecords", () => {
  // Guards against routes that come and go filling the memory of the VM.
  it("occupies bounded memory however many routes there have been", () => {
    const latencies = new LatencyRecords();
    const before = process.memoryUsage().arrayBuffers;
    for (let n = 0; n < ROUTE_COUNT; n++) recordRoute(latencies, `route-${n}`);
    const grownBytes = process.memoryUsage().arrayBuffers - before;
    const text = latencies.format();
    expect(text.length < MAX_BYTES / 10).toEqual(true);
    expect(text.includes(`pipeline="route-${ROUTE_COUNT - 1}"`)).toEqual(true);
    // Buffers of forgotten routes may still wait for the garbage collector.
    expect(latencies.size * (grownBytes / ROUTE_COUNT) < MAX_BYTES)
      .toEqual(true);
  });

  it("keeps the routes in use beside many others", () => {
    const latencies = new LatencyRecords();
    for (let n = 0; n < ROUTE_COUNT; n++) {
      recordRoute(latencies, "in-use");
      recordRoute(latencies, `route-${n}`);
    }
    const count = /stage_seconds_count\{pipeline="in-use",stage="whole"\} (\d+)/
      .exec(latencies.format())?.[1];
    expect(count).toEqual(String(ROUTE_COUNT));
  });
});
