import { expect } from "earl";
import { describe, it } from "node:test";
import { type BackendServerId, toId } from "@sassafrasstage/protocol/ids";
import { findOutage, probeWaitMs } from "./pool_outage.js";
import { enterServer, type PooledServer } from "./pooled_server.js";

function downServer(id: string, probeAtMs: number): PooledServer {
  const server = enterServer(toId<BackendServerId>(id), 0);
  server.availability = "inService";
  server.health = {
    ...server.health,
    state: { kind: "down", sinceMs: 0, backOffMs: 500, probeAtMs },
  };
  return server;
}

describe("findOutage", () => {
  it("sees an outage only when every server in service is down", () => {
    const up = enterServer(toId<BackendServerId>("up"), 0);
    up.availability = "inService";
    const down = downServer("down", 700);
    expect(findOutage([down, up])).toEqual(undefined);
    up.availability = "out";
    expect(findOutage([down, up])).toEqual({
      firstProbeAtMs: 700,
      probeIntervalMs: 500,
    });
    expect(findOutage([])).toEqual(undefined);
  });

  it("lets the permit requests wait for one probe each", () => {
    const outage = findOutage([downServer("a", 700), downServer("b", 900)]);
    if (outage === undefined) throw new Error("Expected an outage");
    expect(probeWaitMs(outage, { requestsAhead: 0, nowMs: 200 })).toEqual(500);
    expect(probeWaitMs(outage, { requestsAhead: 3, nowMs: 800 })).toEqual(750);
  });
});
