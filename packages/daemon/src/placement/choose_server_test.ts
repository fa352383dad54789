import { expect } from "earl";
import { describe, it } from "node:test";
import type { RegisteredServer } from "../register/server_register.js";
import { EAST, makeReport, WEST } from "../testing/stage_samples.js";
import {
  chooseServer,
  type ServerCandidate,
  type ServerChoiceInput,
} from "./choose_server.js";
import { ServerHealth } from "./server_health.js";

function makeCandidate(
  id: string,
  server: Partial<RegisteredServer> = {},
): ServerCandidate {
  return {
    server: { ...makeReport(id), coldUntilMs: 0, ...server },
    health: new ServerHealth(),
  };
}

function choose(
  candidates: readonly ServerCandidate[],
  input: Partial<ServerChoiceInput> = {},
): ServerCandidate | undefined {
  return chooseServer({
    candidates,
    dataCentre: EAST,
    prefixKey: undefined,
    coldQuota: 3,
    nowMs: 1000,
    ...input,
  });
}

describe("chooseServer for plain services", () => {
  it("prefers the local server until it has clearly more requests in flight", () => {
    const near = makeCandidate("near");
    const far = makeCandidate("far", { dataCentre: WEST });
    near.health.inFlight = 1;
    expect(choose([far, near])).toEqual(near);
    near.health.inFlight = 3;
    expect(choose([far, near])).toEqual(far);
  });

  it("avoids a server that fails some of its requests", () => {
    const failing = makeCandidate("failing");
    const healthy = makeCandidate("healthy", { dataCentre: WEST });
    failing.health.recordFailure(900);
    failing.health.recordFailure(950);
    expect(choose([failing, healthy])).toEqual(healthy);
    // It is tried again once its failures have decayed.
    expect(choose([failing, healthy], { nowMs: 20_000 })).toEqual(failing);
  });

  it("avoids a silent server until it is heard of again", () => {
    const silent = makeCandidate("silent");
    const other = makeCandidate("other", { dataCentre: WEST });
    silent.health.recordSilence(0, 900);
    expect(choose([silent, other])).toEqual(other);
    silent.health.recordReceived(950);
    expect(choose([silent, other])).toEqual(silent);
  });

  it("uses a suspended server if there is no other", () => {
    const only = makeCandidate("only");
    only.health.recordUnreachable(990);
    expect(choose([only])).toEqual(only);
  });
});

describe("chooseServer for servers that restart cold", () => {
  it("sends no more requests per second than its share of the limit", () => {
    const cold = makeCandidate("cold", { coldUntilMs: 5000 });
    let sent = 0;
    for (let nowMs = 1000; nowMs < 2000; nowMs += 10) {
      const choice = choose([cold], { nowMs });
      if (choice === undefined) continue;
      choice.health.recordColdRequest(nowMs);
      sent += 1;
    }
    expect(sent).toEqual(3);
    expect(choose([cold], { nowMs: 2001 })).toEqual(cold);
  });
});

describe("chooseServer for engines that cache prompt prefixes", () => {
  const engines = ["a", "b", "c", "d"].map((id) => makeCandidate(id));

  it("sends the same prefix to the same engine, from every VM", () => {
    const first = choose(engines, { prefixKey: "p1" });
    const reversed = [...engines].reverse();
    expect(choose(reversed, { prefixKey: "p1" })).toEqual(first);
  });

  it("distributes prefixes over all engines", () => {
    const used = new Set(
      Array.from(
        { length: 64 },
        (_, index) => choose(engines, { prefixKey: `p${index}` })?.server.id,
      ),
    );
    expect(used.size).toEqual(4);
  });

  it("limits the extra load of the engine of a popular prefix", () => {
    const loadedEngines = engines.map((engine) => ({
      ...engine,
      health: new ServerHealth(),
    }));
    for (let i = 0; i < 40; i++) {
      const choice = choose(loadedEngines, { prefixKey: "hot" });
      if (choice !== undefined) choice.health.inFlight += 1;
    }
    const inFlight = loadedEngines.map((load) => load.health.inFlight);
    expect(Math.max(...inFlight) - Math.min(...inFlight) <= 7).toEqual(true);
  });
});
