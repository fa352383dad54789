import {
  type DataCentreName,
  type Incarnation,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { describe, it } from "node:test";
import {
  chooseLinkPolicies,
  GOSSIP_LINKS_PER_DATA_CENTRE,
} from "./link_policy.js";
import { PeerRecord } from "./peer_record.js";

function makePeers(count: number): PeerRecord[] {
  return Array.from({ length: count }, (_, index) =>
    new PeerRecord({
      vmId: toId<VmId>(`vm-${index}`),
      dataCentre: toId<DataCentreName>(`dc-${index % 11}`),
      address: undefined,
      isSeed: false,
    }));
}

const SELF = {
  vmId: toId<VmId>("vm-self"),
  incarnation: toId<Incarnation>("incarnation-1"),
  dataCentre: toId<DataCentreName>("dc-0"),
};

describe("chooseLinkPolicies", () => {
  it("keeps connections to all peers in a small fleet", () => {
    const policies = chooseLinkPolicies(SELF, makePeers(15));
    expect(new Set(policies.values())).toEqual(new Set(["standing"]));
  });

  it("keeps connections to its own data centre and to a few peers of each other one in a large fleet", () => {
    const peers = makePeers(389);
    const policies = chooseLinkPolicies(SELF, peers);
    const standing = peers.filter((peer) => policies.get(peer) === "standing");
    const gossip = peers.filter((peer) => policies.get(peer) === "gossip");
    const own = peers.filter((peer) => peer.dataCentre === SELF.dataCentre);
    expect(standing).toEqual(own);
    expect(gossip.length).toEqual(10 * GOSSIP_LINKS_PER_DATA_CENTRE);
    const dataCentres = new Set(gossip.map((peer) => peer.dataCentre));
    expect(dataCentres.size).toEqual(10);
    expect(policies.size).toEqual(389);
  });
});
