/**
 * Determines whether the process that holds a claim is known to be dead.
 *
 * @module
 */

import {
  type Incarnation,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import type { MemberState, PeerNetwork } from "../peers/peer_network.js";
import { formatHolder } from "./claim_relay.js";

/** Tracks the last connected incarnation of each VM. */
export class HolderLiveness {
  readonly #network: PeerNetwork;
  readonly #connectedIncarnations = new Map<VmId, Incarnation>();

  constructor(network: PeerNetwork) {
    this.#network = network;
    network.lifecycle.on("connected", (peer) => {
      this.#connectedIncarnations.set(peer.vmId, peer.incarnation);
    });
  }

  /** May be briefly wrong; the outcome then counts as "may have run". */
  isDead(holder: string, nowMs: number): boolean {
    const { self } = this.#network;
    const { vmId, incarnation } = parseHolder(holder);
    if (vmId === self.vmId) return holder !== formatHolder(self);
    const state = this.#stateOf(vmId, nowMs);
    if (state === "gone") return true;
    const connected = this.#connectedIncarnations.get(vmId);
    return state === "live" && connected !== undefined &&
      connected !== incarnation;
  }

  /** The VM of the claim's holder if it can be reached. */
  reachableVm(holder: string, nowMs: number): VmId | undefined {
    const { vmId } = parseHolder(holder);
    if (this.isDead(holder, nowMs)) return undefined;
    const state = this.#stateOf(vmId, nowMs);
    return state === "live" || state === "leaving" ? vmId : undefined;
  }

  #stateOf(vmId: VmId, nowMs: number): MemberState | undefined {
    return this.#network.view(nowMs).members
      .find((member) => member.vmId === vmId)?.state;
  }
}

function parseHolder(
  holder: string,
): { readonly vmId: VmId; readonly incarnation: Incarnation } {
  const slash = holder.indexOf("/");
  return {
    vmId: toId<VmId>(holder.slice(0, slash)),
    incarnation: toId<Incarnation>(holder.slice(slash + 1)),
  };
}
