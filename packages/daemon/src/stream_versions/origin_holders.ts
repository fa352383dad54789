/**
 * Selects the VMs that remember where a stream began.
 *
 * A few VMs of each data centre hold each stream's origin, chosen by rendezvous
 * hashing, so that a VM that gets the client's next attempt finds them without
 * leaving its data centre.
 *
 * @module
 */

import type { DataCentreName, VmId } from "@sassafrasstage/protocol/ids";
import type { MembershipView } from "../peers/peer_network.js";
import { rankByRendezvous } from "../peers/rendezvous.js";

/** More than one, so that an origin outlives the VM that remembers it. */
const HOLDERS_PER_DATA_CENTRE = 2;

export class OriginHolders {
  readonly #byDataCentre = new Map<DataCentreName, VmId[]>();
  #lastView: MembershipView | undefined;

  /**
   * The other VMs of a data centre that hold the origin of a stream.
   *
   * @param key The client's attempt that brought the first event
   */
  inDataCentre(
    key: string,
    dataCentre: DataCentreName,
    view: MembershipView,
  ): VmId[] {
    this.#update(view);
    return rankByRendezvous(key, this.#byDataCentre.get(dataCentre) ?? [])
      .slice(0, HOLDERS_PER_DATA_CENTRE);
  }

  dataCentres(view: MembershipView): DataCentreName[] {
    this.#update(view);
    return [...this.#byDataCentre.keys()];
  }

  /** The other VMs of a data centre. */
  vmsOf(dataCentre: DataCentreName, view: MembershipView): readonly VmId[] {
    this.#update(view);
    return this.#byDataCentre.get(dataCentre) ?? [];
  }

  #update(view: MembershipView): void {
    if (view === this.#lastView) return;
    this.#lastView = view;
    this.#byDataCentre.clear();
    for (const { vmId, dataCentre, state, isSelf } of view.members) {
      if (isSelf || (state !== "live" && state !== "leaving")) continue;
      const vmIds = this.#byDataCentre.get(dataCentre) ?? [];
      vmIds.push(vmId);
      this.#byDataCentre.set(dataCentre, vmIds);
    }
  }
}
