import {
  type DataCentreName,
  type Incarnation,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import Emittery from "emittery";
import { describe, it } from "node:test";
import { createLogger } from "../observability/logger.js";
import type {
  Member,
  PeerIdentity,
  PeerLifecycleEvents,
  PeerMessageEvents,
} from "../peers/peer_network.js";
import {
  chooseWatchers,
  MAX_STORE_AGE_MS,
  StoreWatchers,
  WATCHER_SILENCE_MS,
  WATCHERS_PER_DATA_CENTRE,
} from "./store_watchers.js";

const DATA_CENTRES = 5;

function makeMembers(
  count: number,
  self: number,
  takesObjectChanges = true,
): Member[] {
  return Array.from({ length: count }, (_, index) => ({
    vmId: toId<VmId>(`vm-${index}`),
    dataCentre: toId<DataCentreName>(`dc-${index % DATA_CENTRES}`),
    state: "live",
    isSelf: index === self,
    generation: 1,
    takesObjectChanges: index === self || takesObjectChanges,
  }));
}

class ViewedNetwork {
  readonly messages = new Emittery<PeerMessageEvents>();
  readonly lifecycle = new Emittery<PeerLifecycleEvents>();
  readonly self: PeerIdentity;
  members: Member[];

  constructor(vmCount: number, self: number) {
    this.members = makeMembers(vmCount, self);
    this.self = identityOf(self);
  }

  send(): boolean {
    return true;
  }

  sendToAll(): void {
    // The tests look at what was received only.
  }

  view(): { members: Member[] } {
    return { members: this.members };
  }

  async hearWatcher(index: number, storeAgeMs: number): Promise<void> {
    await this.messages.emit("heartbeat", {
      from: identityOf(index),
      message: {
        type: "heartbeat",
        sequence: 1,
        generation: 1,
        leaving: false,
        ownedPools: [],
        storeAgeMs,
      },
    });
  }
}

function identityOf(index: number): PeerIdentity {
  return {
    vmId: toId<VmId>(`vm-${index}`),
    incarnation: toId<Incarnation>("incarnation-1"),
    dataCentre: toId<DataCentreName>(`dc-${index % DATA_CENTRES}`),
  };
}

/** A VM of the first data centre that isn't one of its watchers. */
function findFollower(vmCount: number): number {
  const watchers = chooseWatchers(makeMembers(vmCount, 0));
  for (let index = 0; index < vmCount; index += DATA_CENTRES) {
    if (!watchers.includes(toId<VmId>(`vm-${index}`))) return index;
  }
  throw new Error("All VMs are watchers");
}

function start(vmCount: number, self: number) {
  const network = new ViewedNetwork(vmCount, self);
  const clock = { time: 10_000, nowMs: () => clock.time };
  const logger = createLogger("error", {});
  const watchers = new StoreWatchers({ network, clock, logger });
  watchers.update(clock.nowMs());
  return { network, clock, watchers };
}

describe("chooseWatchers", () => {
  for (const vmCount of [65, 195, 388]) {
    it(`chooses the same few VMs of each data centre at all ${vmCount} VMs`, () => {
      const chosen = new Set<VmId>();
      for (let self = 0; self < vmCount; self++) {
        for (const vmId of chooseWatchers(makeMembers(vmCount, self))) {
          chosen.add(vmId);
        }
      }
      expect(chosen.size).toEqual(WATCHERS_PER_DATA_CENTRE * DATA_CENTRES);
    });
  }

  it("passes over builds that don't tell others", () => {
    const members = makeMembers(195, 10, false);
    expect(chooseWatchers(members)).toEqual([toId<VmId>("vm-10")]);
  });
});

describe("StoreWatchers", () => {
  it("lets every VM of a small fleet watch for itself", () => {
    const { watchers } = start(9, 3);
    expect(watchers.role).toEqual("independent");
    expect(watchers.isFollowing(10_000)).toEqual(false);
  });

  it("follows only a watcher that has been heard", async () => {
    const { network, watchers } = start(195, findFollower(195));
    expect(watchers.role).toEqual("follower");
    expect(watchers.isFollowing(10_000)).toEqual(false);
    await network.hearWatcher(0, 100);
    expect(watchers.isFollowing(10_000)).toEqual(true);
  });

  it("doesn't rely on watchers of other data centres", async () => {
    const { network, watchers } = start(195, findFollower(195));
    await network.hearWatcher(1, 100);
    expect(watchers.isFollowing(10_000)).toEqual(false);
  });

  it("goes to the store itself when its watchers are silent", async () => {
    const { network, watchers } = start(195, findFollower(195));
    await network.hearWatcher(0, 0);
    const nowMs = 10_001 + WATCHER_SILENCE_MS;
    expect(watchers.isFollowing(nowMs)).toEqual(false);
    expect(watchers.hasLiveWatcher(nowMs)).toEqual(false);
  });

  it("goes to the store itself when the store answers no watcher", async () => {
    const { network, watchers } = start(195, findFollower(195));
    await network.hearWatcher(0, MAX_STORE_AGE_MS + 1);
    expect(watchers.isFollowing(10_000)).toEqual(false);
    expect(watchers.hasLiveWatcher(10_000)).toEqual(true);
  });

  it("goes on following when one of two watchers is lost", async () => {
    const { network, watchers } = start(195, findFollower(195));
    await network.hearWatcher(0, 0);
    await network.hearWatcher(5, 0);
    await network.lifecycle.emit("disconnected", identityOf(0));
    expect(watchers.isFollowing(10_000)).toEqual(true);
    await network.lifecycle.emit("disconnected", identityOf(5));
    expect(watchers.isFollowing(10_000)).toEqual(false);
  });

  it("no longer follows a VM that has stopped watching", async () => {
    const { network, watchers } = start(195, findFollower(195));
    await network.hearWatcher(0, 0);
    await network.messages.emit("heartbeat", {
      from: identityOf(0),
      message: {
        type: "heartbeat",
        sequence: 2,
        generation: 1,
        leaving: false,
        ownedPools: [],
      },
    });
    expect(watchers.isFollowing(10_000)).toEqual(false);
  });

  it("takes over when the watchers are gone", () => {
    const self = findFollower(195);
    const { network, watchers, clock } = start(195, self);
    network.members = network.members.map((member) =>
      member.isSelf || member.dataCentre !== network.self.dataCentre
        ? member
        : { ...member, state: "silent" }
    );
    watchers.update(clock.nowMs());
    expect(watchers.role).toEqual("watcher");
  });
});
