import {
  type BackendServerId,
  type DataCentreName,
  toId,
} from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { type ConfigurationHead, HEAD_KEY } from "./configuration_head.js";
import {
  ConfigurationFleet,
  countEvents,
  haveGeneration,
  type TestDaemon,
  waitUntil,
} from "./testing/configuration_fleet.js";
import { makeSampleContent, readDeadlineMs } from "./testing/sample_content.js";

function submit(daemon: TestDaemon, deadlineMs = 1000) {
  const content = makeSampleContent({ deadlineMs });
  return daemon.manager.submit({
    author: "ada",
    change: { kind: "replace", content },
  });
}

function takeDataCentreOut(daemon: TestDaemon, name: string) {
  return daemon.manager.submit({
    author: "ada",
    change: {
      kind: "dataCentre",
      name: toId<DataCentreName>(name),
      direction: "out",
    },
  });
}

function takeServerOut(daemon: TestDaemon, id: string) {
  return daemon.manager.submit({
    author: "bea",
    change: {
      kind: "backendServer",
      id: toId<BackendServerId>(id),
      direction: "out",
    },
  });
}

describe("startConfigurationManager", () => {
  let fleet: ConfigurationFleet;
  beforeEach(() => {
    fleet = new ConfigurationFleet();
  });
  afterEach(async () => {
    await fleet.close();
  });

  it("distributes a change to every daemon of two data centres", async () => {
    for (const number of [1, 2, 3, 4]) await fleet.start(`vm-a${number}`);
    for (const number of [1, 2, 3]) {
      await fleet.start(`vm-b${number}`, "catania");
    }
    const [first] = fleet.daemons;
    if (first === undefined) throw new Error("No daemon");
    await submit(first);
    await waitUntil(() => haveGeneration(fleet.daemons, 1));
    await submit(first, 2000);
    await waitUntil(() => haveGeneration(fleet.daemons, 2));
    const deltas = await countEvents(
      fleet.daemons,
      "configurationHandedOver.delta",
    );
    expect(deltas).toBeGreaterThan(0);
    for (const daemon of fleet.daemons) {
      expect(readDeadlineMs(daemon.manager.current())).toEqual(2000);
    }
  });

  it("sends the configuration to a daemon that starts during a platform outage", async () => {
    const running = await fleet.start("vm-a1");
    await submit(running, 1500);
    fleet.store.isDown = true;
    const started = await fleet.start("vm-a2");
    await waitUntil(() => haveGeneration([started], 1));
    expect(readDeadlineMs(started.manager.current())).toEqual(1500);
  });

  it("sends the configuration to a daemon that can't reach the platform", async () => {
    const disconnected = await fleet.start("vm-a1");
    const other = await fleet.start("vm-b1", "catania");
    disconnected.connection.isDisconnected = true;
    await submit(other);
    await waitUntil(() => haveGeneration([disconnected], 1));
  });

  // Guards against a configuration that is in force everywhere else never
  // reaching a daemon whose waiting watch the store didn't tell of it.
  it("reads a change that its watch wasn't told of", async () => {
    const watcher = await fleet.start("vm-1");
    await submit(watcher, 1001);
    const other = await fleet.start("vm-2", "catania");
    watcher.network.isDisconnected = true;
    watcher.connection.deafWatches = 1;
    await waitUntil(() => watcher.connection.deafWatches === 0);
    await submit(other, 1002);
    await waitUntil(() => haveGeneration([watcher], 2));
  });

  it("reports a submission as unavailable while the platform is down", async () => {
    const daemon = await fleet.start("vm-a1");
    await submit(daemon, 1001);
    fleet.store.isDown = true;
    const result = await submit(daemon, 1002);
    expect(result.kind).toEqual("unavailable");
    expect(readDeadlineMs(daemon.manager.current())).toEqual(1001);
  });

  it("accepts all of several concurrent commutative changes", async () => {
    const one = await fleet.start("vm-a1");
    const other = await fleet.start("vm-b1", "catania");
    await submit(one);
    fleet.store.delayMs = () => 2;
    const results = await Promise.all([
      takeDataCentreOut(one, "palermo"),
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
    const rules = one.manager.current()?.rules;
    expect(rules?.dataCentresOut.map(String)).toEqual(["palermo"]);
    expect(rules?.backendServersOut.map(String).sort()).toEqual([
      "catania-0",
      "catania-1",
    ]);
  });

  it("lists the head again when the watch's revision is too old", async () => {
    const watcher = await fleet.start("vm-a1");
    await submit(watcher);
    watcher.connection.isDisconnected = true;
    const otherFleet = new ConfigurationFleet();
    Object.assign(otherFleet, { store: fleet.store });
    const other = await otherFleet.start("vm-b1", "catania");
    try {
      await submit(other, 3000);
      fleet.store.discardEvents();
      watcher.connection.isDisconnected = false;
      await waitUntil(() => haveGeneration([watcher], 2));
      expect(await countEvents([watcher], "configurationWatchTooOld"))
        .toEqual(1);
    } finally {
      await otherFleet.close();
    }
  });

  it("keeps the current configuration while a part is missing or replaced", async () => {
    const daemon = await fleet.start("vm-a1");
    await submit(daemon, 1001);
    await waitUntil(() => haveGeneration([daemon], 1));
    const head = await fleet.store.connect().read(HEAD_KEY);
    const { changes } = head?.value as ConfigurationHead;
    const parts = changes[0]?.parts ?? [];
    const invalidPartLists = [
      parts.slice(1),
      parts.map((part) => ({ ...part, version: part.version + 1000 })),
      parts.map((part) => ({ ...part, key: `${part.key}-absent` })),
    ];
    for (const [index, invalidParts] of invalidPartLists.entries()) {
      const change = {
        ...changes[0],
        generation: index + 2,
        parts: invalidParts,
      };
      fleet.store.put(HEAD_KEY, { changes: [change, ...changes] });
      await waitUntil(async () =>
        await countEvents([daemon], "configurationReadFailed") > index
      );
    }
    expect(daemon.manager.current()?.generation).toEqual(1);
    expect(daemon.network.generations).toEqual([1]);
    const repaired = await submit(daemon, 1002);
    expect(repaired.kind).toEqual("accepted");
  });

  it("ignores the older configuration of a daemon that was disconnected", async () => {
    const isolated = await fleet.start("vm-a1");
    const other = await fleet.start("vm-a2");
    await submit(other, 1001);
    await waitUntil(() => haveGeneration(fleet.daemons, 1));
    isolated.network.isDisconnected = true;
    isolated.connection.isDisconnected = true;
    for (const deadline of [1002, 1003, 1004]) await submit(other, deadline);
    isolated.network.isDisconnected = false;
    const configuration = isolated.manager.current();
    if (configuration === undefined) throw new Error("No configuration");
    await other.network.receive(isolated.network.self, {
      type: "configuration",
      configuration,
    });
    await waitUntil(() => haveGeneration([isolated], 4));
    expect(other.network.generations).toEqual([1, 2, 3, 4]);
    expect(isolated.network.generations).toEqual([1, 4]);
  });
});
