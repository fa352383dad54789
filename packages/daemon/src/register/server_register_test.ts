import { type BackendServerId, toId } from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { describe, it } from "node:test";
import { EAST, ENCODER, makeReport, WEST } from "../testing/stage_samples.js";
import { ServerRegister } from "./server_register.js";

function makeRegister(): {
  readonly register: ServerRegister;
  readonly changes: string[];
} {
  const changes: string[] = [];
  const register = new ServerRegister((change) => {
    changes.push(`${change.kind} ${change.server.id}`);
  });
  return { register, changes };
}

describe("ServerRegister", () => {
  it("excludes draining servers and those of a data centre out of service", () => {
    const { register } = makeRegister();
    register.apply(makeReport("a"), 0);
    register.apply(makeReport("b", { isDraining: true }), 0);
    register.apply(makeReport("c", { dataCentre: WEST }), 0);
    register.setDataCentresOut([WEST]);
    expect(register.usableServers(ENCODER).map((server) => server.id))
      .toEqual([toId<BackendServerId>("a")]);
    register.setDataCentresOut([]);
    expect(register.usableServers(ENCODER).length).toEqual(2);
  });

  it("reports a restart with the same id as ended and added", () => {
    const { register, changes } = makeRegister();
    register.apply(makeReport("a", { startedAt: 5 }), 0);
    register.apply(makeReport("a", { startedAt: 9 }), 0);
    expect(changes).toEqual(["added a", "ended a", "added a"]);
  });

  it("ignores a late report of an earlier process", () => {
    const { register, changes } = makeRegister();
    register.apply(makeReport("a", { startedAt: 9 }), 0);
    register.apply(makeReport("a", { startedAt: 5, isDraining: true }), 0);
    expect(changes).toEqual(["added a"]);
    expect(register.usableServers(ENCODER).length).toEqual(1);
  });

  it("allows no new work on an outdated entry", () => {
    const { register } = makeRegister();
    register.apply(makeReport("a"), 0);
    const [before] = register.usableServers(ENCODER);
    register.apply(makeReport("a", { isDraining: true }), 0);
    expect(before !== undefined && register.canReceiveWork(before))
      .toEqual(false);
    expect(register.usableServers(ENCODER)).toEqual([]);
  });

  it("computes the end of the cold period from the report", () => {
    const { register } = makeRegister();
    register.apply(makeReport("a", { coldRemainingMs: 300 }), 1000);
    expect(register.usableServers(ENCODER)[0]?.coldUntilMs).toEqual(1300);
    expect(register.usableServers(ENCODER)[0]?.dataCentre).toEqual(EAST);
  });
});
