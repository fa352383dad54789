/**
 * Selects the VM that grants the requests to a server with a rate limit.
 *
 * VMs that can't reach each other select different owners. Each of these uses a
 * share of the limit in proportion to the VMs on its side, so that all owners
 * together keep the limit.
 *
 * @module
 */

import type { BackendServerId, VmId } from "@sassafrasstage/protocol/ids";
import type { MembershipView } from "../peers/peer_network.js";
import { rankByRendezvous } from "../peers/rendezvous.js";

/**
 * Time for which a silent VM is assumed to be behind a partition, where it can
 * still send requests. After that it is assumed to have been removed.
 */
const SILENT_VM_COUNTED_MS = 60_000;

export class LimitOwners {
  readonly #view: (nowMs: number) => MembershipView;
  readonly #silentSinceMs = new Map<VmId, number>();
  readonly #owners = new Map<BackendServerId, VmId>();
  #lastView: MembershipView | undefined;
  #selfId: VmId | undefined;
  #liveVms: VmId[] = [];
  /** VMs on this side that may send requests. */
  #senderCount = 1;

  constructor(view: (nowMs: number) => MembershipView) {
    this.#view = view;
  }

  /** The VM that grants the requests to a server, as seen from this VM. */
  ownerOf(id: BackendServerId, nowMs: number): VmId | undefined {
    this.#update(nowMs);
    let owner = this.#owners.get(id);
    if (owner === undefined) {
      owner = rankByRendezvous(id, this.#liveVms)[0] ?? this.#selfId;
      if (owner !== undefined) this.#owners.set(id, owner);
    }
    return owner;
  }

  /** Fraction of each limit that the owners on this side may grant. */
  share(nowMs: number): number {
    this.#update(nowMs);
    let silentCount = 0;
    for (const sinceMs of this.#silentSinceMs.values()) {
      if (nowMs - sinceMs < SILENT_VM_COUNTED_MS) silentCount += 1;
    }
    return this.#senderCount / (this.#senderCount + silentCount);
  }

  #update(nowMs: number): void {
    const view = this.#view(nowMs);
    if (view === this.#lastView) return;
    this.#lastView = view;
    this.#owners.clear();
    this.#liveVms = [];
    this.#senderCount = 0;
    const silent = new Set<VmId>();
    for (const { vmId, state, isSelf } of view.members) {
      if (isSelf) this.#selfId = vmId;
      if (state === "silent") silent.add(vmId);
      if (state === "live") this.#liveVms.push(vmId);
      if (state === "live" || state === "leaving") this.#senderCount += 1;
    }
    this.#updateSilentVms(silent, nowMs);
  }

  #updateSilentVms(silent: ReadonlySet<VmId>, nowMs: number): void {
    for (const vmId of [...this.#silentSinceMs.keys()]) {
      if (!silent.has(vmId)) this.#silentSinceMs.delete(vmId);
    }
    for (const vmId of silent) {
      if (!this.#silentSinceMs.has(vmId)) this.#silentSinceMs.set(vmId, nowMs);
    }
  }
}
