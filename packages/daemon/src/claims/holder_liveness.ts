/**
 * Whether the process that holds a claim is known to be dead.
 *
 * @module
 */

import {
  type Incarnation,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import type { MemberState, PeerNetwork } from "../peers/peer_network.js";
import { holderOf } from "./claim_relay.js";

/** Follows which process life of each VM is connected. */
export class HolderLiveness {
  readonly #network: PeerNetwork;
  readonly #lives = new Map<VmId, Incarnation>();

  constructor(network: PeerNetwork) {
    this.#network = network;
    network.life.on("connected", (peer) => {
      this.#lives.set(peer.vmId, peer.incarnation);
    });
  }

  /** Wrong at worst for a moment, and then only towards "may have run". */
  isDead(holder: string, nowMs: number): boolean {
    const { self } = this.#network;
    const { vmId, incarnation } = parseHolder(holder);
    if (vmId === self.vmId) return holder !== holderOf(self);
    const state = this.#stateOf(vmId, nowMs);
    if (state === "gone") return true;
    const connected = this.#lives.get(vmId);
    return state === "live" && connected !== undefined &&
      connected !== incarnation;
  }

  /** The VM to ask about a claim, if its holder can be reached. */
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
