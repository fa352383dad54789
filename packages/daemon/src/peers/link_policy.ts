/**
 * Decides which connections to peers are kept.
 *
 * @module
 */

import type { DataCentreName, VmId } from "@sassafrasstage/protocol/ids";
import type { PeerIdentity } from "./peer_network.js";
import type { LinkPolicy, PeerLink, PeerRecord } from "./peer_record.js";
import { rankByRendezvous } from "./rendezvous.js";

/** Largest fleet in which every VM keeps a connection to every other VM. */
export const MAX_FULL_MESH_VMS = 16;
/** Whether every VM of the fleet, this one included, has a kept connection. */
export function isFullMesh(vmCount: number): boolean {
  return vmCount <= MAX_FULL_MESH_VMS;
}

/**
 * Number of connections that each VM keeps to every other data centre in larger
 * fleets.
 */
export const GOSSIP_LINKS_PER_DATA_CENTRE = 2;

/**
 * Whether a second connection to the same incarnation replaces the first. Both
 * sides keep the connection opened by the VM with the lower id, or the newer
 * one if the same side opened both or no frame has arrived on the older one for
 * `staleMs`.
 *
 * @example
 * ```ts
 * if (prefersNewLink(peer.link, link, { nowMs, staleMs: 400 })) adopt(link);
 * ```
 */
export function prefersNewLink(
  existing: PeerLink,
  candidate: PeerLink,
  context: { readonly nowMs: number; readonly staleMs: number },
): boolean {
  if (existing.dialedBy === candidate.dialedBy) return true;
  if (context.nowMs - existing.lastFrameAtMs > context.staleMs) return true;
  return candidate.dialedBy < existing.dialedBy;
}

/**
 * Decides for each peer whether a connection to it is kept open.
 *
 * @example
 * ```ts
 * for (const [peer, policy] of chooseLinkPolicies(self, peers)) {
 *   peer.linkPolicy = policy;
 * }
 * ```
 */
export function chooseLinkPolicies(
  self: PeerIdentity,
  peers: readonly PeerRecord[],
): Map<PeerRecord, LinkPolicy> {
  if (isFullMesh(peers.length + 1)) {
    return new Map(peers.map((peer) => [peer, "standing"]));
  }
  const gossipVmIds = chooseGossipPeers(self, peers);
  return new Map(peers.map((peer) => {
    if (peer.dataCentre === self.dataCentre) return [peer, "standing"];
    return [peer, gossipVmIds.has(peer.vmId) ? "gossip" : "onDemand"];
  }));
}

function chooseGossipPeers(
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
