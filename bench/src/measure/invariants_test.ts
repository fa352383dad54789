import { expect } from "earl";
import { describe, it } from "node:test";
import type { LoadRecord } from "../load/load_record.js";
import {
  countCallsInWindow,
  countInvariantViolations,
  makeRequestMarker,
  type ServerRecord,
} from "./invariants.js";

function makeServer(serials: readonly number[]): ServerRecord {
  return {
    id: "registry-1",
    service: "registry",
    dataCentre: "palermo",
    isCold: false,
    inFlight: 0,
    coldOverloads: 0,
    suddenColdArrivals: 0,
    maxInFlightWhileCold: 0,
    runs: serials.length,
    lastArrivalAtMs: 0,
    entries: serials.map((serial, index) => ({
      requestId: `a-${index}`,
      operation: "issue",
      marker: makeRequestMarker(serial),
      arrivedAtMs: 1000 * index,
      outcome: "completed",
      number: `registry-1-${index}`,
    })),
  };
}

const REFUSED: LoadRecord = {
  serial: 4,
  sendDelayMs: 0,
  atMs: 0,
  pipeline: "issue",
  urgency: "counter",
  clientAccount: "small",
  vmId: "vm-1",
  latencyMs: 20,
  isWithinDeadline: false,
  outcome: { kind: "refused", status: 503, reason: "queueFull", notRun: true },
};

describe("countInvariantViolations", () => {
  it("counts a request that ran at two backend servers", () => {
    const servers = [makeServer([1, 2]), makeServer([2, 3])];
    expect(countInvariantViolations([], servers).ranTwice).toEqual(1);
  });

  it('counts a "not run" refusal of a request that ran', () => {
    const counts = [[4], [5]].map((serials) =>
      countInvariantViolations([REFUSED], [makeServer(serials)]).untrueNotRun
    );
    expect(counts).toEqual([1, 0]);
  });
});

describe("countCallsInWindow", () => {
  it("includes the start of the window and excludes its end", () => {
    const window = { dataCentre: "palermo", fromMs: 1000, toMs: 3000 };
    expect(countCallsInWindow([makeServer([1, 2, 3, 4])], window)).toEqual(2);
    const otherDataCentre = { ...window, dataCentre: "catania" };
    expect(countCallsInWindow([makeServer([1, 2, 3, 4])], otherDataCentre))
      .toEqual(0);
  });
});
