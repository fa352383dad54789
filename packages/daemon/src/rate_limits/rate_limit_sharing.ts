/**
 * Sends the changes of servers' rate limits to the other VMs.
 *
 * A VM that observes a change reports it to the limit's owner, which tells all
 * others. In large fleets the owner tells a few VMs of each other data centre,
 * which pass the change on within theirs.
 *
 * @module
 */

import type {
  BackendServerId,
  DataCentreName,
  VmId,
} from "@sassafrasstage/protocol/ids";
import type { StatedRateLimit } from "@sassafrasstage/protocol/rate_limits";
import { isFullMesh } from "../peers/link_policy.js";
import type { Member, PeerNetwork } from "../peers/peer_network.js";
import {
  findReachableMembers,
  groupByDataCentre,
} from "../peers/reachable_members.js";
import { rankByRendezvous } from "../peers/rendezvous.js";

/** More than one, so that a change arrives although one of them has failed. */
const RELAYS_PER_DATA_CENTRE = 2;

export class RateLimitSharing {
  readonly #network: PeerNetwork;

  constructor(network: PeerNetwork) {
    this.#network = network;
  }

  /** Tells one VM. */
  tell(vmId: VmId, id: BackendServerId, stated: StatedRateLimit): void {
    this.#send(vmId, id, { stated, relay: false });
  }

  /** Tells all VMs other than `except`. */
  tellAll(
    id: BackendServerId,
    stated: StatedRateLimit,
    options: { readonly except: VmId | undefined; readonly nowMs: number },
  ): void {
    const others = this.#reachableMembers(options.nowMs);
    const hasFullMesh = isFullMesh(others.length + 1);
    const { dataCentre } = this.#network.self;
    const direct = others.filter((member) =>
      hasFullMesh || member.dataCentre === dataCentre
    );
    for (const { vmId } of direct) {
      if (vmId === options.except) continue;
      this.#send(vmId, id, { stated, relay: false });
    }
    if (hasFullMesh) return;
    for (const vmId of chooseRelays(id, others, dataCentre)) {
      this.#send(vmId, id, { stated, relay: true });
    }
  }

  /** Passes a change on to the VMs of this data centre. */
  relay(
    id: BackendServerId,
    stated: StatedRateLimit,
    options: { readonly except: VmId; readonly nowMs: number },
  ): void {
    for (const member of this.#reachableMembers(options.nowMs)) {
      if (member.dataCentre !== this.#network.self.dataCentre) continue;
      if (member.vmId === options.except) continue;
      this.#send(member.vmId, id, { stated, relay: false });
    }
  }

  #reachableMembers(nowMs: number): Member[] {
    return findReachableMembers(this.#network.view(nowMs));
  }

  #send(
    vmId: VmId,
    backendServerId: BackendServerId,
    change: { readonly stated: StatedRateLimit; readonly relay: boolean },
  ): void {
    this.#network.send(vmId, {
      type: "rateLimitChange",
      backendServerId,
      ...change,
    });
  }
}

function chooseRelays(
  id: BackendServerId,
  members: readonly Member[],
  ownDataCentre: DataCentreName,
): VmId[] {
  const otherDataCentres = members.filter((member) =>
    member.dataCentre !== ownDataCentre
  );
  return [...groupByDataCentre(otherDataCentres).values()].flatMap((vmIds) =>
    rankByRendezvous(id, vmIds).slice(0, RELAYS_PER_DATA_CENTRE)
  );
}
