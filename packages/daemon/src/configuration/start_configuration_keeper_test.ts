import {
  type BackendServerId,
  type DataCentreName,
  toId,
} from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { type ConfigurationHead, HEAD_KEY } from "./configuration_head.js";
import {
  ClaimStoreFleet,
  countEvents,
  haveGeneration,
  type TestDaemon,
  waitUntil,
} from "./testing/claim_store_fleet.js";
import { makeSampleContent, readMark } from "./testing/sample_content.js";

function apply(daemon: TestDaemon, deadlineMs = 1000) {
  const content = makeSampleContent({ deadlineMs });
  return daemon.keeper.submit({
    author: "ada",
    change: { kind: "replace", content },
  });
}

function takeOut(daemon: TestDaemon, name: string) {
  return daemon.keeper.submit({
    author: "ada",
    change: {
      kind: "dataCentre",
      name: toId<DataCentreName>(name),
      direction: "out",
    },
  });
}

function takeServerOut(daemon: TestDaemon, id: string) {
  return daemon.keeper.submit({
    author: "bea",
    change: {
      kind: "backendServer",
      id: toId<BackendServerId>(id),
      direction: "out",
    },
  });
}

describe("startConfigurationKeeper", () => {
  let fleet: ClaimStoreFleet;
  beforeEach(() => {
    fleet = new ClaimStoreFleet();
  });
  afterEach(async () => {
    await fleet.close();
  });

  it("brings a change to every daemon of two data centres", async () => {
    for (const number of [1, 2, 3, 4]) await fleet.start(`vm-a${number}`);
    for (const number of [1, 2, 3]) {
      await fleet.start(`vm-b${number}`, "catania");
    }
    const [first] = fleet.daemons;
    if (first === undefined) throw new Error("No daemon");
    await apply(first);
    await waitUntil(() => haveGeneration(fleet.daemons, 1));
    await apply(first, 2000);
    await waitUntil(() => haveGeneration(fleet.daemons, 2));
    const deltas = await countEvents(
      fleet.daemons,
      "configurationHandedOver.delta",
    );
    expect(deltas).toBeGreaterThan(0);
    for (const daemon of fleet.daemons) {
      expect(readMark(daemon.keeper.current())).toEqual(2000);
    }
  });

  it("hands it to a daemon that starts during an outage", async () => {
    const old = await fleet.start("vm-a1");
    await apply(old, 1500);
    fleet.store.isDown = true;
    const young = await fleet.start("vm-a2");
    await waitUntil(() => haveGeneration([young], 1));
    expect(readMark(young.keeper.current())).toEqual(1500);
  });

  it("carries it across a cut from the platform", async () => {
    const cut = await fleet.start("vm-a1");
    const other = await fleet.start("vm-b1", "catania");
    cut.connection.isCut = true;
    await apply(other);
    await waitUntil(() => haveGeneration([cut], 1));
  });

  it("refuses a submission while the platform is down", async () => {
    const daemon = await fleet.start("vm-a1");
    await apply(daemon, 1001);
    fleet.store.isDown = true;
    const result = await apply(daemon, 1002);
    expect(result.kind).toEqual("unavailable");
    expect(readMark(daemon.keeper.current())).toEqual(1001);
  });

  it("keeps both of two racing changes that commute", async () => {
    const one = await fleet.start("vm-a1");
    const other = await fleet.start("vm-b1", "catania");
    await apply(one);
    fleet.store.delayMs = () => 2;
    const results = await Promise.all([
      takeOut(one, "palermo"),
      takeServerOut(other, "catania-0"),
      takeServerOut(one, "catania-1"),
    ]);
    expect(results.map((result) => result.kind)).toEqual([
      "accepted",
      "accepted",
      "accepted",
    ]);
    await waitUntil(() => haveGeneration(fleet.daemons, 4));
    expect(await countEvents(fleet.daemons, "configurationRaceLost"))
      .toBeGreaterThan(0);
    const rules = one.keeper.current()?.rules;
    expect(rules?.dataCentresOut.map(String)).toEqual(["palermo"]);
    expect(rules?.backendServersOut.map(String).sort()).toEqual([
      "catania-0",
      "catania-1",
    ]);
  });

  it("lists again when the watch's revision is too old", async () => {
    const watcher = await fleet.start("vm-a1");
    await apply(watcher);
    watcher.connection.isCut = true;
    const elsewhere = new ClaimStoreFleet();
    Object.assign(elsewhere, { store: fleet.store });
    const other = await elsewhere.start("vm-b1", "catania");
    try {
      await apply(other, 3000);
      fleet.store.forgetEvents();
      watcher.connection.isCut = false;
      await waitUntil(() => haveGeneration([watcher], 2));
      expect(await countEvents([watcher], "configurationWatchTooOld"))
        .toEqual(1);
    } finally {
      await elsewhere.close();
    }
  });

  it("keeps the old one while a part is missing or torn", async () => {
    const daemon = await fleet.start("vm-a1");
    await apply(daemon, 1001);
    await waitUntil(() => haveGeneration([daemon], 1));
    const head = await fleet.store.connect().read(HEAD_KEY);
    const { changes } = head?.value as ConfigurationHead;
    const parts = changes[0]?.parts ?? [];
    const tornParts = [
      parts.slice(1),
      parts.map((part) => ({ ...part, version: part.version + 1000 })),
      parts.map((part) => ({ ...part, key: `${part.key}-absent` })),
    ];
    for (const [index, torn] of tornParts.entries()) {
      const change = { ...changes[0], generation: index + 2, parts: torn };
      fleet.store.put(HEAD_KEY, { changes: [change, ...changes] });
      await waitUntil(async () =>
        await countEvents([daemon], "configurationReadFailed") > index
      );
    }
    expect(daemon.keeper.current()?.generation).toEqual(1);
    expect(daemon.network.generations).toEqual([1]);
    const mended = await apply(daemon, 1002);
    expect(mended.kind).toEqual("accepted");
  });

  it("doesn't go back when a frozen daemon speaks again", async () => {
    const frozen = await fleet.start("vm-a1");
    const other = await fleet.start("vm-a2");
    await apply(other, 1001);
    await waitUntil(() => haveGeneration(fleet.daemons, 1));
    frozen.network.isCut = true;
    frozen.connection.isCut = true;
    for (const mark of [1002, 1003, 1004]) await apply(other, mark);
    frozen.network.isCut = false;
    const configuration = frozen.keeper.current();
    if (configuration === undefined) throw new Error("No configuration");
    await other.network.receive(frozen.network.self, {
      type: "configuration",
      configuration,
    });
    await waitUntil(() => haveGeneration([frozen], 4));
    expect(other.network.generations).toEqual([1, 2, 3, 4]);
    expect(frozen.network.generations).toEqual([1, 4]);
  });
});
