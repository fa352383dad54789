/**
 * Which connections are kept.
 *
 * @module
 */

import type { DataCentreName, VmId } from "@sassafrasstage/protocol/ids";
import type { PeerIdentity } from "./peer_network.js";
import type { LinkNeed, PeerLink, PeerRecord } from "./peer_record.js";
import { rankByRendezvous } from "./rendezvous.js";

/** Up to so many VMs in all, each keeps a connection to every other one. */
export const MAX_FULLY_LINKED_VMS = 16;
/** Kept connections to each other data centre of a larger fleet. */
export const GOSSIP_LINKS_PER_DATA_CENTRE = 2;

/**
 * Whether a second connection to the same process life replaces the first.
 * Both sides keep the one dialed by the VM with the lower id, or the newer one
 * if the same side dialed both or the older one has gone quiet.
 *
 * @example
 * ```ts
 * if (prefersNewLink(peer.link, link, { nowMs, quietMs: 400 })) adopt(link);
 * ```
 */
export function prefersNewLink(
  existing: PeerLink,
  candidate: PeerLink,
  context: { readonly nowMs: number; readonly quietMs: number },
): boolean {
  if (existing.dialedBy === candidate.dialedBy) return true;
  if (context.nowMs - existing.lastFrameAtMs > context.quietMs) return true;
  return candidate.dialedBy < existing.dialedBy;
}

/**
 * Decides for each peer whether a connection to it is kept up.
 *
 * @example
 * ```ts
 * for (const [peer, need] of chooseLinkNeeds(self, peers)) peer.linkNeed = need;
 * ```
 */
export function chooseLinkNeeds(
  self: PeerIdentity,
  peers: readonly PeerRecord[],
): Map<PeerRecord, LinkNeed> {
  if (peers.length + 1 <= MAX_FULLY_LINKED_VMS) {
    return new Map(peers.map((peer) => [peer, "standing"]));
  }
  const gossip = chooseGossip(self, peers);
  return new Map(peers.map((peer) => {
    if (peer.dataCentre === self.dataCentre) return [peer, "standing"];
    return [peer, gossip.has(peer.vmId) ? "gossip" : "onDemand"];
  }));
}

function chooseGossip(
  self: PeerIdentity,
  peers: readonly PeerRecord[],
): Set<VmId> {
  const byDataCentre = new Map<DataCentreName, VmId[]>();
  for (const peer of peers) {
    if (peer.isRefused) continue;
    const vmIds = byDataCentre.get(peer.dataCentre) ?? [];
    vmIds.push(peer.vmId);
    byDataCentre.set(peer.dataCentre, vmIds);
  }
  const chosen = new Set<VmId>();
  for (const vmIds of byDataCentre.values()) {
    const ranked = rankByRendezvous(self.vmId, vmIds);
    for (const vmId of ranked.slice(0, GOSSIP_LINKS_PER_DATA_CENTRE)) {
      chosen.add(vmId);
    }
  }
  return chosen;
}
