import {
  type BackendServerId,
  poolKey,
  toId,
} from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { describe, it } from "node:test";
import { buildPoolLayout, readVmAvailability } from "./pool_layout.js";
import { ServerTable } from "./server_table.js";
import { makeConfiguration, makePool } from "./testing/test_configuration.js";

const WARM_LIMIT = 4;
const COLD_LIMIT = 1;
/** Permits of a former owner. */
const OUTSTANDING = 3;

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

function makeTable(snapshot: ReturnType<typeof makeSnapshot>): ServerTable {
  const table = new ServerTable({
    entry: snapshot.entry,
    hasPrefixAffinity: false,
    onCooled: () => undefined,
    onStateChanged: () => undefined,
  });
  table.configure(snapshot.entry, { ...snapshot, nowMs: 0 });
  table.setRights({ mayGrantCold: true, warm: { kind: "full" } }, 0);
  return table;
}

describe("ServerTable", () => {
  it("believes a cold sign that is newer than the warm one it adopted", () => {
    const table = makeTable(makeSnapshot([]));
    const backendServerId = toId<BackendServerId>("palermo-1");
    for (let call = 0; call < OUTSTANDING; call += 1) {
      table.countGrant(backendServerId, 900);
    }
    table.adoptObservations(
      [{ backendServerId, warmUpState: "warm", ageMs: 800 }],
      1000,
    );
    expect(table.slots).toEqual(OUTSTANDING);
    // A member that was frozen during the takeover reports it late.
    table.recordColdStart(backendServerId, { seenAtMs: 950, nowMs: 1100 });
    expect(table.slots).toEqual(COLD_LIMIT);
  });

  it("keeps a warm sign that is newer than the reported cold one", () => {
    const table = makeTable(makeSnapshot([]));
    const backendServerId = toId<BackendServerId>("palermo-1");
    for (let call = 0; call < OUTSTANDING; call += 1) {
      table.countGrant(backendServerId, 900);
    }
    table.adoptObservations(
      [{ backendServerId, warmUpState: "warm", ageMs: 20 }],
      1000,
    );
    table.recordColdStart(backendServerId, { seenAtMs: 950, nowMs: 1100 });
    expect(table.slots).toEqual(OUTSTANDING);
  });

  it("treats a server that returns to service as cold", () => {
    const inService = makeSnapshot([]);
    const table = makeTable(inService);
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
