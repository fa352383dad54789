import { expect } from "earl";
import { beforeEach, describe, it } from "node:test";
import { RecordingLogger } from "../forwarding/testing/sample_forwarding.js";
import { Metrics } from "../observability/metrics.js";
import type { RegisteredServer } from "../register/server_register.js";
import { makeReport } from "../testing/stage_samples.js";
import type { LoadStatement } from "./server_load.js";
import { ServerLoads } from "./server_loads.js";

const SERVER: RegisteredServer = { ...makeReport("a"), coldUntilMs: 0 };

function stated(slowdown?: number): LoadStatement {
  return {
    kind: "stated",
    load: { running: 5, waiting: 0, slots: 4, slowdown },
  };
}

describe("ServerLoads", () => {
  let loads: ServerLoads;
  let logger: RecordingLogger;

  beforeEach(() => {
    logger = new RecordingLogger();
    loads = new ServerLoads({
      inFlightOf: () => 2,
      clock: { nowMs: () => 1000 },
      metrics: new Metrics(),
      logger,
    });
  });

  it("uses nothing of a server that states three figures", () => {
    loads.record(SERVER, stated(), "r1");
    expect(loads.candidateLoad(SERVER, 1000)).toEqual(undefined);
  });

  it("uses load and slowness from the fourth figure on", () => {
    loads.record(SERVER, stated(2), "r1");
    expect(loads.candidateLoad(SERVER, 1000))
      .toEqual({ othersLoad: 3, slowness: 2 });
    expect(loads.candidateLoad(SERVER, 2000))
      .toEqual({ othersLoad: 0, slowness: 1 });
  });

  it("keeps nothing of a process that was started again or has moved", () => {
    for (
      const change of [
        { startedAt: 2 },
        { address: { host: "10.0.0.2", port: 8000 } },
      ]
    ) {
      loads.record(SERVER, stated(2), "r1");
      expect(loads.candidateLoad({ ...SERVER, ...change }, 1000))
        .toEqual(undefined);
    }
  });

  it("doesn't take waiting in the server's queue for slowness", () => {
    for (let n = 0; n < 20; n++) {
      loads.recordCall(SERVER, {
        kind: "a",
        durationMs: n === 0 ? 30 : 300,
        load: {
          running: 4,
          waiting: n === 0 ? 0 : 3,
          slots: 4,
          slowdown: 1,
        },
      });
    }
    loads.record(SERVER, stated(1), "r1");
    const slowness = loads.candidateLoad(SERVER, 1000)?.slowness ?? NaN;
    expect(Math.abs(slowness - 1) < 1e-9).toEqual(true);
  });

  it("ignores and reports what can't be parsed", () => {
    loads.record(SERVER, { kind: "invalid", text: "x" }, "r1");
    expect(loads.candidateLoad(SERVER, 1000)).toEqual(undefined);
    expect(logger.events.map(({ event }) => event))
      .toEqual(["serverLoadInvalid"]);
  });
});
