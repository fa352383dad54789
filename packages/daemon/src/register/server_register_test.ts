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

  it("doesn't take back that a process leaves, but uses the next one", () => {
    const { register } = makeRegister();
    register.apply(makeReport("a", { startedAt: 5, isDraining: true }), 0);
    register.apply(makeReport("a", { startedAt: 5 }), 0);
    expect(register.usableServers(ENCODER)).toEqual([]);
    register.apply(makeReport("a", { startedAt: 9 }), 0);
    expect(register.usableServers(ENCODER).length).toEqual(1);
  });

  it("ignores processes that ended, for as long as it is told", () => {
    const { register } = makeRegister();
    register.apply(makeReport("a", { startedAt: 5 }), 0);
    register.remove(makeReport("a").id);
    register.withholdEndedUntil(100);
    register.apply(makeReport("a", { startedAt: 5 }), 50);
    expect(register.size).toEqual(0);
    register.apply(makeReport("a", { startedAt: 6 }), 50);
    register.remove(makeReport("a").id);
    register.apply(makeReport("a", { startedAt: 6 }), 100);
    expect(register.size).toEqual(1);
  });

  it("keeps what a process said in a response, also if its entry lapses", () => {
    const { register, changes } = makeRegister();
    register.apply(makeReport("a", { startedAt: 5 }), 0);
    const [server] = register.usableServers(ENCODER);
    if (server === undefined) throw new Error("The server isn't usable");
    expect(register.announceLeaving(server)).toEqual(true);
    expect(register.announceLeaving(server)).toEqual(false);
    register.remove(server.id);
    register.apply(makeReport("a", { startedAt: 5 }), 0);
    expect(register.usableServers(ENCODER)).toEqual([]);
    register.apply(makeReport("a", { startedAt: 9 }), 0);
    expect(register.announceLeaving(server)).toEqual(false);
    expect(register.usableServers(ENCODER).length).toEqual(1);
    expect(changes.slice(0, 2)).toEqual(["added a", "updated a"]);
  });

  it("excludes a process during the longest of its pauses", () => {
    const { register } = makeRegister();
    register.apply(makeReport("a", { startedAt: 5 }), 0);
    const [server] = register.usableServers(ENCODER);
    if (server === undefined) throw new Error("The server isn't usable");
    expect(register.pause(server, 200)).toEqual(true);
    expect(register.pause(server, 100)).toEqual(false);
    expect(register.usableServers(ENCODER)).toEqual([]);
    expect(register.isStaying(server)).toEqual(true);
    expect(register.pauseEndsAtMs(ENCODER)).toEqual(200);
    register.apply(makeReport("a", { startedAt: 9 }), 0);
    expect(register.usableServers(ENCODER).length).toEqual(1);
    expect(register.pause(server, 300)).toEqual(false);
    register.endPause(server.id);
    expect(register.pauseEndsAtMs(ENCODER)).toEqual(undefined);
  });

  it("keeps a pause that a process asked for while its entry had lapsed", () => {
    const { register } = makeRegister();
    const report = makeReport("a", { startedAt: 5 });
    register.apply(report, 0);
    const [server] = register.usableServers(ENCODER);
    if (server === undefined) throw new Error("The server isn't usable");
    register.remove(server.id);
    expect(register.pause(server, 200)).toEqual(true);
    register.apply(report, 0);
    expect(register.usableServers(ENCODER)).toEqual([]);
    register.apply(makeReport("a", { startedAt: 9 }), 0);
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
