import { expect } from "earl";
import { beforeEach, describe, it } from "node:test";
import type { ServiceName } from "@sassafrasstage/protocol/ids";
import { RecordingLogger } from "../forwarding/testing/sample_forwarding.js";
import { Metrics } from "../observability/metrics.js";
import {
  type RegisteredServer,
  ServerRegister,
} from "../register/server_register.js";
import { ENCODER, makeReport } from "../testing/stage_samples.js";
import { ServerReach } from "./server_reach.js";

const RETURN_MS = 1000;
const DOWN_TTL_MS = 1000;

describe("ServerReach", () => {
  let nowMs: number;
  let register: ServerRegister;
  let reach: ServerReach;
  let suspected: RegisteredServer[];
  let changes: (readonly ServiceName[])[];

  beforeEach(() => {
    nowMs = 10_000;
    register = new ServerRegister(() => undefined);
    for (const id of ["a", "b"]) register.apply(makeReport(id), nowMs);
    suspected = [];
    changes = [];
    reach = new ServerReach({
      register,
      clock: { nowMs: () => nowMs },
      metrics: new Metrics(),
      logger: new RecordingLogger(),
      onSuspected: (server) => suspected.push(server),
      onCutOff: () => undefined,
      onReturned: () => undefined,
      onCutOffServicesChanged: (services) => changes.push(services),
    });
  });

  function server(id: string): RegisteredServer {
    const found = register.allServers().find((known) => known.id === id);
    if (found === undefined) throw new Error(`No server ${id}`);
    return found;
  }

  function mustRelay(id: string, random = 0): boolean {
    return reach.mustRelay(server(id).id, nowMs, random);
  }

  it("doesn't take one failed connection for a cut", () => {
    reach.recordFailedConnection(server("a"), "ECONNREFUSED");
    expect(reach.isLikelyCutOff(server("a"))).toEqual(false);
    expect(mustRelay("a")).toEqual(false);
    expect(suspected.length).toEqual(1);
  });

  it("takes failed connections to all servers of a service for a likely cut", () => {
    reach.recordFailedConnection(server("a"), "ECONNREFUSED");
    reach.recordFailedConnection(server("b"), "ECONNREFUSED");
    expect(reach.isLikelyCutOff(server("a"))).toEqual(true);
    expect(reach.cutOffServices).toEqual([]);
  });

  it("doesn't hand over calls to servers that no VM reaches", () => {
    for (const id of ["a", "b"]) {
      reach.recordFailedConnection(server(id), "ECONNREFUSED");
      reach.recordDown(server(id));
    }
    expect(reach.isLikelyCutOff(server("a"))).toEqual(false);
    expect(mustRelay("a")).toEqual(false);
    expect(reach.cutOffServices).toEqual([]);
  });

  it("checks a server that is down again after a while only", () => {
    reach.recordFailedConnection(server("a"), "ECONNREFUSED");
    reach.recordDown(server("a"));
    reach.recordFailedConnection(server("a"), "ECONNREFUSED");
    expect(suspected.length).toEqual(1);
    nowMs += DOWN_TTL_MS + 1;
    reach.recordFailedConnection(server("a"), "ECONNREFUSED");
    expect(suspected.length).toEqual(2);
  });

  it("is cut off from a service once it reaches none of its servers", () => {
    reach.recordFailedConnection(server("a"), "ECONNREFUSED");
    reach.recordCutOff(server("a"), undefined);
    expect(reach.cutOffServices).toEqual([]);
    reach.recordFailedConnection(server("b"), "ECONNREFUSED");
    expect(reach.cutOffServices).toEqual([ENCODER]);
    expect(mustRelay("a")).toEqual(true);
  });

  it("isn't taken for likely again after no VM reached the servers", () => {
    for (const id of ["a", "b"]) {
      reach.recordFailedConnection(server(id), "ECONNREFUSED");
      reach.recordDown(server(id));
    }
    nowMs += DOWN_TTL_MS + 1;
    for (const id of ["a", "b"]) {
      reach.recordFailedConnection(server(id), "ECONNREFUSED");
    }
    expect(reach.isLikelyCutOff(server("a"))).toEqual(false);
  });

  it("ends for a server that a peer doesn't reach either", () => {
    reach.recordFailedConnection(server("a"), "ECONNREFUSED");
    reach.recordCutOff(server("a"), undefined);
    reach.recordUnreachedByPeer(server("a"));
    expect(mustRelay("a")).toEqual(false);
    expect(suspected.length).toEqual(2);
    reach.recordDown(server("a"));
    expect(reach.stateOf(server("a").id)?.kind).toEqual("down");
  });

  it("isn't ended by responses on connections made before the cut", () => {
    reach.recordFailedConnection(server("a"), "ECONNREFUSED");
    reach.recordCutOff(server("a"), undefined);
    reach.recordResponse(server("a"));
    expect(mustRelay("a")).toEqual(true);
  });

  it("returns calls to a server gradually once it accepts connections", () => {
    for (const id of ["a", "b"]) {
      reach.recordFailedConnection(server(id), "ETIMEDOUT");
      reach.recordCutOff(server(id), undefined);
    }
    reach.recordConnection(server("a"));
    expect(reach.cutOffServices).toEqual([]);
    nowMs += RETURN_MS / 2;
    expect(mustRelay("a", 0.4)).toEqual(false);
    expect(mustRelay("a", 0.6)).toEqual(true);
    nowMs += RETURN_MS;
    reach.expire(nowMs);
    expect(reach.stateOf(server("a").id)).toEqual(undefined);
    expect(changes).toEqual([[ENCODER], []]);
  });

  it("forgets a server that ended", () => {
    reach.recordFailedConnection(server("a"), "ECONNREFUSED");
    reach.recordCutOff(server("a"), undefined);
    const { id } = server("a");
    register.remove(id);
    reach.forget(id);
    expect(reach.stateOf(id)).toEqual(undefined);
  });
});
