import { expect } from "earl";
import { describe, it } from "node:test";
import { type BackendServerId, toId } from "@sassafrasstage/protocol/ids";
import { findOutage, probeWaitMs } from "./pool_outage.js";
import { createPooledServer, type PooledServer } from "./pooled_server.js";

function downServer(id: string, probeAtMs: number): PooledServer {
  const server = createPooledServer(toId<BackendServerId>(id), 0);
  server.availability = "inService";
  server.health = {
    ...server.health,
    state: { kind: "down", sinceMs: 0, backoffMs: 500, probeAtMs },
  };
  return server;
}

describe("findOutage", () => {
  it("reports an outage only if every server in service is down", () => {
    const upServer = createPooledServer(toId<BackendServerId>("up"), 0);
    upServer.availability = "inService";
    const down = downServer("down", 700);
    expect(findOutage([down, upServer])).toEqual(undefined);
    upServer.availability = "out";
    expect(findOutage([down, upServer])).toEqual({
      firstProbeAtMs: 700,
      probeIntervalMs: 500,
    });
    expect(findOutage([])).toEqual(undefined);
  });

  it("counts one probe for each permit request ahead", () => {
    const outage = findOutage([downServer("a", 700), downServer("b", 900)]);
    if (outage === undefined) throw new Error("Expected an outage");
    expect(probeWaitMs(outage, { requestsAhead: 0, nowMs: 200 })).toEqual(500);
    expect(probeWaitMs(outage, { requestsAhead: 3, nowMs: 800 })).toEqual(750);
  });
});
