import {
  type AttemptId,
  type SuspectId,
  toId,
} from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { describe, it } from "node:test";
import { makeReport } from "../testing/stage_samples.js";
import type { CallObservation } from "./call_observation.js";
import { type ObservedCrash, OpenCalls } from "./open_calls.js";

class Calls {
  nowMs = 0;
  readonly proven: string[] = [];
  readonly crashes: ObservedCrash[] = [];
  readonly #calls = new OpenCalls({
    clock: { nowMs: () => this.nowMs },
    onProven: ({ request }, soundAtMs) => {
      this.proven.push(`${request}@${soundAtMs}`);
    },
    onCrash: (crash) => {
      this.crashes.push(crash);
    },
    onEnded: () => undefined,
  });

  start(request: string, startedAt = 1): CallObservation {
    return this.#calls.add({
      request: toId<AttemptId>(request),
      server: { ...makeReport("a", { startedAt }), coldUntilMs: 0 },
      parts: [toId<SuspectId>(`part-of-${request}`)],
    });
  }

  accused(): string[][] {
    return this.crashes.map(({ unprovenCalls }) =>
      unprovenCalls.map(({ request }) => request)
    );
  }
}

describe("a call", () => {
  it("proves its parts once its server lives on after the first event", () => {
    const calls = new Calls();
    const call = calls.start("x");
    call.recordEvent();
    calls.nowMs = 499;
    call.recordEvent();
    expect(calls.proven).toEqual([]);
    calls.nowMs = 500;
    call.recordEvent();
    expect(calls.proven).toEqual(["x@0"]);
    call.recordComplete();
    expect(calls.proven).toEqual(["x@0"]);
  });

  it("proves its parts when its response is complete", () => {
    const calls = new Calls();
    calls.nowMs = 70;
    calls.start("x").recordComplete();
    expect(calls.proven).toEqual(["x@70"]);
  });

  it("isn't proven by a late notice of the end of its server", () => {
    const calls = new Calls();
    const call = calls.start("x");
    call.recordEvent();
    calls.nowMs = 5000;
    call.recordCrash();
    expect(calls.accused()).toEqual([["x"]]);
  });

  it("isn't accused if it was proven, has ended or is at another process", () => {
    const calls = new Calls();
    const crashing = calls.start("x");
    calls.start("waiting");
    const proven = calls.start("proven");
    proven.recordEvent();
    calls.nowMs = 600;
    proven.recordEvent();
    calls.start("ended").end();
    calls.start("restarted", 2);
    crashing.recordCrash();
    expect(calls.accused()).toEqual([["x", "waiting"]]);
    proven.recordCrash();
    expect(calls.crashes[1]?.isProven).toEqual(true);
    expect(calls.accused()[1]).toEqual(["waiting"]);
  });

  it("counts for nothing once it has ended", () => {
    const calls = new Calls();
    const call = calls.start("x");
    call.end();
    call.recordCrash();
    call.recordComplete();
    expect(calls.crashes).toEqual([]);
    expect(calls.proven).toEqual([]);
  });
});
