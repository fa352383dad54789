import { poolKey, toId } from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { describe, it } from "node:test";
import { buildPoolLayout, readVmAvailability } from "./pool_layout.js";
import { ServerTable } from "./server_table.js";
import { makeConfiguration, makePool } from "./testing/test_configuration.js";

const WARM_LIMIT = 4;
const COLD_LIMIT = 1;

function makeSnapshot(dataCentresOut: readonly string[]) {
  const layout = buildPoolLayout(makeConfiguration({
    servers: { palermo: 1 },
    warmLimit: WARM_LIMIT,
    coldLimit: COLD_LIMIT,
    dataCentresOut,
  }));
  const entry = layout.pools.get(poolKey(makePool("palermo")));
  if (entry === undefined) throw new Error("No such pool in the layout");
  return { entry, layout, vms: readVmAvailability(undefined) };
}

describe("ServerTable", () => {
  it("treats a server that returns to service as cold", () => {
    const inService = makeSnapshot([]);
    const table = new ServerTable({
      entry: inService.entry,
      hasPrefixAffinity: false,
      onCooled: () => undefined,
      onStateChanged: () => undefined,
    });
    table.configure(inService.entry, { ...inService, nowMs: 0 });
    table.setRights({ mayGrantCold: true, warm: { kind: "full" } }, 0);
    for (let call = 1; call <= 20; call += 1) {
      table.report(
        toId("palermo-1"),
        { outcome: "completed", grade: "usual", grantedAtMs: call },
        call,
      );
    }
    expect(table.slots).toEqual(WARM_LIMIT);

    const out = makeSnapshot(["palermo"]);
    table.configure(out.entry, { ...out, nowMs: 30 });
    expect(table.slots).toEqual(0);
    table.configure(inService.entry, { ...inService, nowMs: 40 });
    expect(table.slots).toEqual(COLD_LIMIT);
  });
});
