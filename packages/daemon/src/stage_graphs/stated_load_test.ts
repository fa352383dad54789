import type { ServiceName } from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { describe, it } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RegisteredServer } from "../register/server_register.js";
import type { BatchLimits } from "../routing/routing_configuration.js";
import type { ServerLoad } from "../server_load/server_load.js";
import {
  ENCODER,
  makeGraph,
  makeReport,
  makeStage,
  SAMPLE_LIMITS,
} from "../testing/stage_samples.js";
import { BatchServer, nominalCallMs, SLOW_THRESHOLD } from "./batch_server.js";
import { SharedStageServers } from "./testing/shared_stage_servers.js";
import { type Arrival, SimulatedStages } from "./testing/simulated_stages.js";

const LIMITS: ReadonlyMap<ServiceName, BatchLimits> = new Map([
  [ENCODER, SAMPLE_LIMITS],
]);
const SERVER: RegisteredServer = { ...makeReport("a"), coldUntilMs: 0 };
const DURATION_MS = 20_000;
const OBJECTIVE_MS = 1000;

interface SharedLoad {
  readonly figures: "three" | "four";
  readonly seed: number;
  readonly serverCount: number;
  readonly requestsPerSecond: number;
  readonly othersCallsPerSecond: number;
}

function onTimeShareOf(load: SharedLoad): number {
  const servers = new SharedStageServers({ ...load, slowdowns: [0.8, 2.5] });
  const stages = new SimulatedStages({ limits: LIMITS, servers });
  for (let n = 0; n < load.serverCount; n++) {
    stages.register.apply(makeReport(`s${n}`), 0);
  }
  for (const server of stages.register.allServers()) {
    servers.add(server, DURATION_MS + 10_000);
  }
  servers.addOthersCalls(stages, {
    limits: SAMPLE_LIMITS,
    callsPerSecond: load.othersCallsPerSecond,
    durationMs: DURATION_MS,
  });
  stages.submit(makeArrivals(load));
  stages.runUntil(DURATION_MS + 8000);
  const { reports } = stages;
  return reports.filter(({ isOnTime }) => isOnTime).length / reports.length;
}

function makeArrivals({ seed, requestsPerSecond }: SharedLoad): Arrival[] {
  const random = xoroshiro128plus(seed + 100);
  const arrivals: Arrival[] = [];
  for (let atMs = 0; atMs < DURATION_MS;) {
    atMs += -Math.log(1 - uniformFloat64(random)) * 1000 / requestsPerSecond;
    arrivals.push({
      atMs,
      graph: makeGraph({
        objectiveInMs: OBJECTIVE_MS,
        deadlineInMs: 4000,
        stages: [makeStage({ itemCount: 3 })],
      }),
    });
  }
  return arrivals;
}

function meanOnTimeShare(load: Omit<SharedLoad, "seed">): number {
  const shares = [1, 2].map((seed) => onTimeShareOf({ ...load, seed }));
  return shares.reduce((sum, share) => sum + share, 0) / shares.length;
}

const STATED: ServerLoad = { running: 1, waiting: 0, slots: 1, slowdown: 1 };
const ITEMS = 4;
const CALL_MS = nominalCallMs(SAMPLE_LIMITS, ITEMS);

/** Makes calls one after the other; returns when the last one ended. */
function makeCalls(
  server: BatchServer,
  calls: readonly { readonly durationMs: number; readonly load: ServerLoad }[],
): number {
  let nowMs = 0;
  for (const { durationMs, load } of calls) {
    server.startCall(ITEMS, 0, nowMs);
    nowMs += durationMs;
    server.recordLoad(load, nowMs);
    server.recordDuration(ITEMS, durationMs, nowMs);
    server.endCall(ITEMS);
  }
  return nowMs;
}

describe("stage servers that state their load", () => {
  it("aren't taken for slow when another coordinator's calls come first", () => {
    const shared = { ...STATED, waiting: 1 };
    const calls = Array.from({ length: 6 }, (_, index) => ({
      durationMs: 2 * CALL_MS,
      load: index % 2 === 0 ? shared : STATED,
    }));
    const server = new BatchServer(SERVER, SAMPLE_LIMITS);
    const nowMs = makeCalls(server, calls);
    expect(server.slowdown(nowMs) < SLOW_THRESHOLD).toEqual(true);
    // The other coordinator's call delays the next one and its overdue limit.
    server.recordLoad(shared, nowMs);
    expect(server.estimateCallMs(ITEMS, nowMs) >= 1.5 * CALL_MS)
      .toEqual(true);
    expect(server.overdueAfterMs(ITEMS, nowMs) > 2.7 * CALL_MS)
      .toEqual(true);
    const threeFigures = new BatchServer(SERVER, SAMPLE_LIMITS);
    const endMs = makeCalls(
      threeFigures,
      calls.map(({ durationMs, load }) => ({
        durationMs,
        load: { ...load, slowdown: undefined },
      })),
    );
    expect(threeFigures.slowdown(endMs) > SLOW_THRESHOLD).toEqual(true);
  });

  it("are taken for slow when their calls are, whatever they state", () => {
    const server = new BatchServer(SERVER, SAMPLE_LIMITS);
    const nowMs = makeCalls(
      server,
      Array.from({ length: 5 }, (_, index) => ({
        durationMs: 4 * CALL_MS,
        load: { ...STATED, waiting: index === 0 ? 1 : 0, slowdown: 0.25 },
      })),
    );
    expect(server.slowdown(nowMs) > SLOW_THRESHOLD).toEqual(true);
  });

  it("are expected to take as long as they state, while that is recent", () => {
    const server = new BatchServer(SERVER, SAMPLE_LIMITS);
    server.recordLoad({ ...STATED, running: 1, slowdown: 2 }, 0);
    server.recordLoad({ ...STATED, running: 0, slowdown: 2 }, 1000);
    expect(server.estimateCallMs(ITEMS, 1000)).toEqual(2 * CALL_MS);
    expect(server.estimateCallMs(ITEMS, 2000)).toEqual(CALL_MS);
  });

  it("serve more requests on time beside another coordinator", () => {
    const loads = [
      { serverCount: 13, requestsPerSecond: 25, othersCallsPerSecond: 1 },
      { serverCount: 12, requestsPerSecond: 30, othersCallsPerSecond: 2 },
    ];
    for (const load of loads) {
      const before = meanOnTimeShare({ ...load, figures: "three" });
      const after = meanOnTimeShare({ ...load, figures: "four" });
      expect(after > before + 0.005).toEqual(true);
    }
  });

  /** Statements served fewer requests on time where one VM makes all calls. */
  it("change nothing when used alone", () => {
    const load = {
      serverCount: 12,
      requestsPerSecond: 40,
      othersCallsPerSecond: 0,
    };
    const before = meanOnTimeShare({ ...load, figures: "three" });
    const after = meanOnTimeShare({ ...load, figures: "four" });
    expect(after).toEqual(before);
  });
});
