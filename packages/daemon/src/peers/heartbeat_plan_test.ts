import {
  type DataCentreName,
  type Incarnation,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { describe, it } from "node:test";
import {
  FREQUENT_PEERS,
  type HeartbeatRole,
  isTurnOf,
  planHeartbeats,
  toStatedIntervals,
} from "./heartbeat_plan.js";
import { chooseLinkPolicies } from "./link_policy.js";
import { PeerRecord } from "./peer_record.js";

const HEARTBEATS_PER_SECOND = 1000 / 300;
const DATA_CENTRES = 5;

const SELF = {
  vmId: toId<VmId>("vm-self"),
  incarnation: toId<Incarnation>("incarnation-1"),
  dataCentre: toId<DataCentreName>("dc-0"),
};

function makePeers(
  vmCount: number,
  build: "present" | "earlier",
): PeerRecord[] {
  const peers = Array.from({ length: vmCount - 1 }, (_, index) => {
    const peer = new PeerRecord({
      vmId: toId<VmId>(`vm-${index}`),
      dataCentre: toId<DataCentreName>(`dc-${(index + 1) % DATA_CENTRES}`),
      address: undefined,
      isSeed: false,
    });
    if (build === "present") peer.statedIntervals = 1;
    return peer;
  });
  for (const [peer, policy] of chooseLinkPolicies(SELF, peers)) {
    peer.linkPolicy = policy;
  }
  return peers;
}

/** Heartbeats that this VM sends to peers with a kept connection. */
function heartbeatsPerSecond(
  vmCount: number,
  role: HeartbeatRole = "regular",
): number {
  const peers = makePeers(vmCount, "present")
    .filter((peer) => peer.linkPolicy !== "onDemand");
  let sum = 0;
  for (const intervals of planHeartbeats(SELF, peers, role).values()) {
    sum += HEARTBEATS_PER_SECOND / intervals;
  }
  return sum;
}

describe("planHeartbeats", () => {
  it("sends every heartbeat to all VMs of a small fleet", () => {
    const plan = planHeartbeats(SELF, makePeers(9, "present"), "regular");
    expect(new Set(plan.values())).toEqual(new Set([1]));
  });

  it("costs a VM of 195 or 388 no more than twice what it costs one of 16", () => {
    const limit = 2 * heartbeatsPerSecond(16);
    expect(heartbeatsPerSecond(195) <= limit).toEqual(true);
    expect(heartbeatsPerSecond(388) <= limit).toEqual(true);
  });

  it("sends every heartbeat to a few VMs of a large data centre", () => {
    const plan = planHeartbeats(SELF, makePeers(195, "present"), "regular");
    const frequent = [...plan.values()].filter((intervals) => intervals === 1);
    expect(frequent.length).toEqual(FREQUENT_PEERS);
  });

  it("sends every heartbeat to builds that expect it", () => {
    const peers = makePeers(195, "earlier");
    const plan = planHeartbeats(SELF, peers, "regular");
    const standing = peers.filter((peer) => peer.linkPolicy === "standing");
    expect(standing.length).toEqual(38);
    expect(standing.every((peer) => plan.get(peer) === 1)).toEqual(true);
  });

  it("sends every heartbeat of a pool's owner, which renews its leases", () => {
    const peers = makePeers(195, "present");
    const plan = planHeartbeats(SELF, peers, "poolOwner");
    const standing = peers.filter((peer) => peer.linkPolicy === "standing");
    expect(standing.every((peer) => plan.get(peer) === 1)).toEqual(true);
  });

  it("lets a store watcher tell its followers twice within their patience", () => {
    const peers = makePeers(195, "present");
    const plan = planHeartbeats(SELF, peers, "storeWatcher");
    const longestMs = Math.max(
      ...peers.filter((peer) => peer.linkPolicy === "standing")
        .map((peer) => (plan.get(peer) ?? Infinity) * 300),
    );
    expect(longestMs * 2 <= 1500).toEqual(true);
  });
});

describe("isTurnOf", () => {
  it("gives each peer one turn in each round, and spreads the turns", () => {
    const intervals = 5;
    const turns = Array.from(
      { length: intervals },
      (_, sequence) =>
        makePeers(195, "present")
          .filter((peer) => isTurnOf(peer, { sequence, intervals })).length,
    );
    expect(turns.reduce((sum, count) => sum + count, 0)).toEqual(194);
    expect(Math.max(...turns) < 2 * (194 / intervals)).toEqual(true);
  });
});

describe("toStatedIntervals", () => {
  it("expresses the interval in this VM's own", () => {
    expect(toStatedIntervals(1500, 300)).toEqual(5);
    expect(toStatedIntervals(undefined, 300)).toEqual(undefined);
  });

  it("keeps absurd statements within bounds", () => {
    expect(toStatedIntervals(0, 300)).toEqual(1);
    expect(toStatedIntervals(1e300, 300)).toEqual(10);
  });
});
