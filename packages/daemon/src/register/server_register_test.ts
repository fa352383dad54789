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
  it("gives no draining server and none of a data centre taken out", () => {
    const { register } = makeRegister();
    register.apply(makeReport("a"), 0);
    register.apply(makeReport("b", { isDraining: true }), 0);
    register.apply(makeReport("c", { dataCentre: WEST }), 0);
    register.setTakenOut([WEST]);
    expect(register.usable(ENCODER).map((server) => server.id))
      .toEqual([toId<BackendServerId>("a")]);
    register.setTakenOut([]);
    expect(register.usable(ENCODER).length).toEqual(2);
  });

  it("takes a restart under the same id as the end of the former life", () => {
    const { register, changes } = makeRegister();
    register.apply(makeReport("a", { startedAt: 5 }), 0);
    register.apply(makeReport("a", { startedAt: 9 }), 0);
    expect(changes).toEqual(["added a", "ended a", "added a"]);
  });

  it("ignores a report of a former life that arrives late", () => {
    const { register, changes } = makeRegister();
    register.apply(makeReport("a", { startedAt: 9 }), 0);
    register.apply(makeReport("a", { startedAt: 5, isDraining: true }), 0);
    expect(changes).toEqual(["added a"]);
    expect(register.usable(ENCODER).length).toEqual(1);
  });

  it("sends nothing on an older copy of an entry", () => {
    const { register } = makeRegister();
    register.apply(makeReport("a"), 0);
    const [before] = register.usable(ENCODER);
    register.apply(makeReport("a", { isDraining: true }), 0);
    expect(before !== undefined && register.mayReceive(before))
      .toEqual(false);
    expect(register.usable(ENCODER)).toEqual([]);
  });

  it("keeps a server cold for as long as it said", () => {
    const { register } = makeRegister();
    register.apply(makeReport("a", { coldRemainingMs: 300 }), 1000);
    expect(register.usable(ENCODER)[0]?.coldUntilMs).toEqual(1300);
    expect(register.usable(ENCODER)[0]?.dataCentre).toEqual(EAST);
  });
});
