import type { WatchResponse } from "@sassafrasstage/protocol/platform_objects";
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { MONOTONIC_CLOCK } from "../clock.js";
import { createLogger } from "../observability/logger.js";
import { Metrics } from "../observability/metrics.js";
import { LinkedVm } from "../stage_graphs/testing/linked_vms.js";
import { ObjectMirror } from "./object_mirror.js";
import { ObjectSharing } from "./share_objects.js";
import { applyWatch } from "./testing/apply_watch.js";

const NO_OP_LISTENER = {
  onUpdated: () => undefined,
  onDeleted: () => undefined,
};
const WAIT_MS = 1200;

interface Replica {
  readonly configuration: ObjectMirror;
  readonly servers: ObjectMirror;
}

const sharings: ObjectSharing[] = [];
afterEach(() => {
  for (const sharing of sharings.splice(0)) sharing.close();
});

function makeReplica(vm: LinkedVm): Replica {
  const configuration = new ObjectMirror("config/", NO_OP_LISTENER);
  const servers = new ObjectMirror("servers/", NO_OP_LISTENER);
  for (const mirror of [configuration, servers]) {
    mirror.applyListing({ revision: 1, objects: [] });
  }
  sharings.push(
    new ObjectSharing({
      network: vm,
      mirrors: [configuration, servers],
      configuration,
      generation: () => 0,
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

function update(key: string, version: number): WatchResponse {
  return {
    revision: version,
    events: [{ kind: "updated", object: { key, version, value: version } }],
  };
}

function configurationOf(replica: Replica): unknown[] {
  return [...replica.configuration.objects].map(({ value }) => value);
}

describe("ObjectSharing", () => {
  it("gets a missed change under one prefix despite newer changes under another", async () => {
    const a = new LinkedVm("vm-a");
    const b = new LinkedVm("vm-b");
    link(a, b);
    const outdated = makeReplica(a);
    const upToDate = makeReplica(b);
    // One VM learns of the server's deletion by an event, the other by a
    // listing.
    applyWatch(outdated.servers, update("servers/s", 5));
    applyWatch(outdated.servers, {
      revision: 8,
      events: [{ kind: "deleted", key: "servers/s", version: 8 }],
    });
    upToDate.servers.applyListing({ revision: 8, objects: [] });
    applyWatch(upToDate.configuration, update("config/main", 7));
    await sleep(WAIT_MS);
    expect(configurationOf(outdated)).toEqual([7]);
  });

  it("gets a change that its own watch skipped", async () => {
    const a = new LinkedVm("vm-a");
    const b = new LinkedVm("vm-b");
    link(a, b);
    const outdated = makeReplica(a);
    const upToDate = makeReplica(b);
    applyWatch(upToDate.configuration, update("config/main", 7));
    applyWatch(outdated.configuration, { revision: 9, events: [] });
    await sleep(WAIT_MS);
    expect(configurationOf(outdated)).toEqual([7]);
    expect(outdated.configuration.watchPosition?.after).toEqual(7);
  });

  it("sends no request while no peer has newer objects", async () => {
    const a = new LinkedVm("vm-a");
    const b = new LinkedVm("vm-b");
    link(a, b);
    const first = makeReplica(a);
    const second = makeReplica(b);
    first.servers.applyListing({ revision: 30, objects: [] });
    applyWatch(second.servers, update("servers/s", 25));
    applyWatch(first.servers, update("servers/s", 25));
    await sleep(WAIT_MS);
    expect([...a.sent, ...b.sent]).toEqual([]);
  });
});
