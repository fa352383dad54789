import type { WatchAnswer } from "@sassafrasstage/protocol/platform_objects";
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { MONOTONIC_CLOCK } from "../clock.js";
import { createLogger } from "../observability/logger.js";
import { Metrics } from "../observability/metrics.js";
import { LinkedVm } from "../stage_graphs/testing/linked_vms.js";
import { ObjectMirror } from "./object_mirror.js";
import { SharedObjects } from "./share_objects.js";

const NOTHING = { onUpdated: () => undefined, onDeleted: () => undefined };
const WAIT_MS = 1200;

interface Replica {
  readonly configuration: ObjectMirror;
  readonly servers: ObjectMirror;
}

const shared: SharedObjects[] = [];
afterEach(() => {
  for (const objects of shared.splice(0)) objects.close();
});

function makeReplica(vm: LinkedVm): Replica {
  const configuration = new ObjectMirror("config/", NOTHING);
  const servers = new ObjectMirror("servers/", NOTHING);
  for (const mirror of [configuration, servers]) {
    mirror.applyListing({ revision: 1, objects: [] });
  }
  shared.push(
    new SharedObjects({
      network: vm,
      mirrors: [configuration, servers],
      clock: MONOTONIC_CLOCK,
      metrics: new Metrics(),
      logger: createLogger("error", {}),
    }),
  );
  return { configuration, servers };
}

function link(a: LinkedVm, b: LinkedVm): void {
  a.other = b;
  b.other = a;
}

function update(key: string, version: number): WatchAnswer {
  return {
    revision: version,
    events: [{ kind: "updated", object: { key, version, value: version } }],
  };
}

function configurationOf(replica: Replica): unknown[] {
  return [...replica.configuration.objects].map(({ value }) => value);
}

describe("SharedObjects", () => {
  it("gets missed news of one kind in spite of newer news of another", async () => {
    const a = new LinkedVm("vm-a");
    const b = new LinkedVm("vm-b");
    link(a, b);
    const deaf = makeReplica(a);
    const informed = makeReplica(b);
    // One learned of a server's end by its event, the other by a listing.
    deaf.servers.applyEvents(update("servers/s", 5));
    deaf.servers.applyEvents({
      revision: 8,
      events: [{ kind: "deleted", key: "servers/s", version: 8 }],
    });
    informed.servers.applyListing({ revision: 8, objects: [] });
    informed.configuration.applyEvents(update("config/main", 7));
    await sleep(WAIT_MS);
    expect(configurationOf(deaf)).toEqual([7]);
  });

  it("gets news that its own watch passed over", async () => {
    const a = new LinkedVm("vm-a");
    const b = new LinkedVm("vm-b");
    link(a, b);
    const deaf = makeReplica(a);
    const informed = makeReplica(b);
    informed.configuration.applyEvents(update("config/main", 7));
    deaf.configuration.applyEvents({ revision: 9, events: [] });
    await sleep(WAIT_MS);
    expect(configurationOf(deaf)).toEqual([7]);
    expect(deaf.configuration.revision).toEqual(7);
  });

  it("asks for nothing while no peer knows more", async () => {
    const a = new LinkedVm("vm-a");
    const b = new LinkedVm("vm-b");
    link(a, b);
    const first = makeReplica(a);
    const second = makeReplica(b);
    first.servers.applyListing({ revision: 30, objects: [] });
    second.servers.applyEvents(update("servers/s", 25));
    first.servers.applyEvents(update("servers/s", 25));
    await sleep(WAIT_MS);
    expect([...a.sent, ...b.sent]).toEqual([]);
  });
});
