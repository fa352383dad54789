import {
  type DataCentreName,
  type Incarnation,
  type ServiceName,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { describe, it } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Member, PeerNetwork } from "../peers/peer_network.js";
import { RelayPeers } from "./relay_peers.js";

const ENGINES = toId<ServiceName>("engine");
const SEED = 11;
const CALLS_PER_PEER = 40;

function makeMember(n: number, overrides: Partial<Member> = {}): Member {
  return {
    vmId: toId<VmId>(`vm-${n}`),
    dataCentre: toId<DataCentreName>("east"),
    state: "live",
    isSelf: n === 0,
    generation: 0,
    relaysCalls: true,
    cutOffServices: [],
    ...overrides,
  };
}

function makePeers(members: readonly Member[]): RelayPeers {
  const generator = xoroshiro128plus(SEED);
  const network: Pick<PeerNetwork, "self" | "view"> = {
    self: {
      vmId: toId<VmId>("vm-0"),
      incarnation: toId<Incarnation>("vm-0-1"),
      dataCentre: toId<DataCentreName>("east"),
    },
    view: () => ({ members }),
  };
  return new RelayPeers({
    network: network as PeerNetwork,
    clock: { nowMs: () => 0 },
    random: () => uniformFloat64(generator),
  });
}

describe("RelayPeers", () => {
  it("chooses only live VMs that relay calls and reach the service", () => {
    const peers = makePeers([
      makeMember(0),
      makeMember(1, { state: "silent" }),
      makeMember(2, { relaysCalls: false }),
      makeMember(3, { cutOffServices: [ENGINES] }),
      makeMember(4, { cutOffServices: [toId<ServiceName>("other")] }),
    ]);
    expect(peers.choose(ENGINES, [])).toEqual(toId<VmId>("vm-4"));
    expect(peers.choose(ENGINES, [toId<VmId>("vm-4")])).toEqual(undefined);
  });

  it("leaves a VM alone that has just refused a call", () => {
    const peers = makePeers([makeMember(0), makeMember(1)]);
    peers.recordRefusal(toId<VmId>("vm-1"));
    expect(peers.choose(ENGINES, [])).toEqual(undefined);
  });

  for (const vmCount of [6, 68, 300]) {
    it(`spreads calls over the other half of ${vmCount} VMs`, () => {
      const members = Array.from(
        { length: vmCount },
        (_, n) =>
          makeMember(n, n < vmCount / 2 ? { cutOffServices: [ENGINES] } : {}),
      );
      const peers = makePeers(members);
      const counts = new Map<VmId, number>();
      for (let n = 0; n < CALLS_PER_PEER * vmCount / 2; n++) {
        const peer = peers.choose(ENGINES, []);
        if (peer === undefined) throw new Error("No peer was chosen");
        peers.recordStart(peer);
        counts.set(peer, (counts.get(peer) ?? 0) + 1);
      }
      expect(counts.size).toEqual(vmCount / 2);
      expect(Math.max(...counts.values()) <= CALLS_PER_PEER * 1.2)
        .toEqual(true);
    });
  }
});
