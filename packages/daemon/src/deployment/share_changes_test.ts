import { toId, type VmId } from "@sassafrasstage/protocol/ids";
import type { ObjectChangesMessage } from "@sassafrasstage/protocol/peer_messages";
import type { WatchEvent } from "@sassafrasstage/protocol/platform_objects";
import { expect } from "earl";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { MONOTONIC_CLOCK } from "../clock.js";
import { createLogger } from "../observability/logger.js";
import { Metrics } from "../observability/metrics.js";
import { LinkedVm } from "../stage_graphs/testing/linked_vms.js";
import { ObjectMirror } from "./object_mirror.js";
import { ChangeSharing } from "./share_changes.js";
import type { StoreRole, StoreWatchers } from "./store_watchers.js";
import { applyWatch } from "./testing/apply_watch.js";

const WAIT_MS = 20;

interface Replica {
  readonly vm: LinkedVm;
  readonly servers: ObjectMirror;
  readonly deleted: string[];
  readonly recovered: number[];
}

function makeReplica(name: string, role: StoreRole): Replica {
  const vm = new LinkedVm(name);
  const deleted: string[] = [];
  const recovered: number[] = [];
  const servers = new ObjectMirror("servers/", {
    onUpdated: () => undefined,
    onDeleted: ({ key }) => deleted.push(key),
  });
  const watchers = {
    role,
    followers: () => vm.other === undefined ? [] : [vm.other.self.vmId],
  } as unknown as StoreWatchers;
  new ChangeSharing({
    network: vm,
    mirrors: [servers],
    watchers,
    recoveredAtMs: () => MONOTONIC_CLOCK.nowMs() - 500,
    onRecovered: (recoveredAtMs) => recovered.push(recoveredAtMs),
    clock: MONOTONIC_CLOCK,
    metrics: new Metrics(),
    logger: createLogger("error", {}),
  });
  return { vm, servers, deleted, recovered };
}

function startPair(): { watcher: Replica; follower: Replica } {
  const watcher = makeReplica("vm-a", "watcher");
  const follower = makeReplica("vm-b", "follower");
  watcher.vm.other = follower.vm;
  follower.vm.other = watcher.vm;
  for (const { servers } of [watcher, follower]) {
    servers.applyListing({
      revision: 10,
      objects: [{ key: "servers/a", version: 5, value: 5 }],
    });
  }
  return { watcher, follower };
}

function updated(key: string, version: number): WatchEvent {
  return { kind: "updated", object: { key, version, value: version } };
}

function keysOf({ servers }: Replica): string[] {
  return servers.objects.map(({ key }) => key).sort();
}

describe("ChangeSharing", () => {
  it("tells followers what a watcher learns by a watch", async () => {
    const { watcher, follower } = startPair();
    applyWatch(watcher.servers, {
      revision: 14,
      events: [
        updated("servers/b", 12),
        { kind: "deleted", key: "servers/a", version: 14 },
      ],
    });
    await sleep(WAIT_MS);
    expect(keysOf(follower)).toEqual(["servers/b"]);
    expect(follower.servers.completeRevision).toEqual(14);
    expect(follower.servers.watchPosition?.after).toEqual(14);
  });

  it("tells followers what a watcher learns by a listing", async () => {
    const { watcher, follower } = startPair();
    watcher.servers.applyListing({
      revision: 20,
      objects: [{ key: "servers/c", version: 18, value: 1 }],
    });
    await sleep(WAIT_MS);
    expect(keysOf(follower)).toEqual(["servers/c"]);
    expect(follower.deleted).toEqual(["servers/a"]);
  });

  it("doesn't pass on what a follower is told", async () => {
    const { watcher, follower } = startPair();
    applyWatch(watcher.servers, {
      revision: 12,
      events: [updated("servers/b", 12)],
    });
    await sleep(WAIT_MS);
    expect(follower.vm.sent).toEqual([]);
  });

  it("asks for a copy if earlier changes are missing, and applies nothing", async () => {
    const { watcher, follower } = startPair();
    watcher.vm.isLinked = false;
    applyWatch(watcher.servers, {
      revision: 12,
      events: [updated("servers/b", 12)],
    });
    watcher.vm.isLinked = true;
    applyWatch(watcher.servers, {
      revision: 14,
      events: [updated("servers/c", 14)],
    });
    await sleep(WAIT_MS);
    expect(keysOf(follower)).toEqual(["servers/a"]);
    expect(follower.vm.sent).toEqual(["objectsRequest"]);
  });

  // Guards against a follower keeping a server that was removed between its own
  // revision and that of the listing whose difference it is told.
  it("asks for a copy if a listing's difference doesn't fit what a follower knows", async () => {
    const { watcher, follower } = startPair();
    watcher.vm.isLinked = false;
    applyWatch(follower.servers, {
      revision: 12,
      events: [updated("servers/gone", 12)],
    });
    watcher.vm.isLinked = true;
    watcher.servers.applyListing({
      revision: 20,
      objects: [
        { key: "servers/a", version: 5, value: 5 },
        { key: "servers/c", version: 18, value: 1 },
      ],
    });
    await sleep(WAIT_MS);
    expect(follower.vm.sent).toEqual(["objectsRequest"]);
    expect(follower.servers.completeRevision).toEqual(12);
  });

  it("doesn't bring back what a follower knows to be deleted", async () => {
    const { watcher, follower } = startPair();
    applyWatch(follower.servers, {
      revision: 15,
      events: [{ kind: "deleted", key: "servers/b", version: 15 }],
    });
    applyWatch(watcher.servers, {
      revision: 12,
      events: [updated("servers/b", 12)],
    });
    applyWatch(watcher.servers, {
      revision: 16,
      events: [updated("servers/c", 16)],
    });
    await sleep(WAIT_MS);
    expect(keysOf(follower)).toEqual(["servers/a", "servers/c"]);
  });

  it("tells followers when an outage of the store has ended", async () => {
    const { watcher, follower } = startPair();
    applyWatch(watcher.servers, {
      revision: 12,
      events: [{ kind: "deleted", key: "servers/a", version: 12 }],
    });
    await sleep(WAIT_MS);
    const [recoveredAtMs = 0] = follower.recovered;
    const ageMs = MONOTONIC_CLOCK.nowMs() - recoveredAtMs;
    expect(ageMs >= 500 && ageMs < 2000).toEqual(true);
  });

  it("ignores changes of an earlier era of the store", async () => {
    const { watcher, follower } = startPair();
    follower.servers.applyListing({
      era: 1 as never,
      revision: 3,
      objects: [],
    });
    const changes: ObjectChangesMessage["changes"] = {
      prefix: "servers/",
      after: 0,
      revision: 30,
      events: [updated("servers/old", 30)],
    };
    watcher.vm.send(toId<VmId>("vm-b"), { type: "objectChanges", changes });
    await sleep(WAIT_MS);
    expect(keysOf(follower)).toEqual(["servers/a"]);
  });
});
