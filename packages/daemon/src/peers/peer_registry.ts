/**
 * All other daemons that this one knows of, from the settings, the platform's
 * list, or their own connections.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type {
  ListedVm,
  VmListing,
} from "@sassafrasstage/protocol/platform_objects";
import type { Address, PeerSeed } from "../settings/settings.js";
import { chooseLinkNeeds } from "./link_choice.js";
import type { PeerIdentity } from "./peer_network.js";
import { PeerRecord, type PeerRecordOptions } from "./peer_record.js";

export interface PeerRegistryOptions {
  readonly self: PeerIdentity;
  /** Called once for each new peer, when its need of a link is known. */
  readonly onAdded: (peer: PeerRecord) => void;
}

/** The known peers, by VM id. */
export class PeerRegistry {
  readonly #options: PeerRegistryOptions;
  readonly #peers = new Map<VmId, PeerRecord>();
  #added: PeerRecord[] = [];
  /** The platform's list shows this VM itself as leaving. */
  isSelfListedLeaving = false;

  constructor(options: PeerRegistryOptions) {
    this.#options = options;
  }

  get(vmId: VmId): PeerRecord | undefined {
    return this.#peers.get(vmId);
  }

  all(): PeerRecord[] {
    return [...this.#peers.values()];
  }

  addSeeds(seeds: readonly PeerSeed[]): void {
    for (const seed of seeds) this.#add({ ...seed, isSeed: true });
    this.refreshLinkNeeds();
  }

  /** A peer that has proved who it is. */
  ensure(identity: PeerIdentity): PeerRecord {
    const known = this.#peers.get(identity.vmId);
    if (known !== undefined) return known;
    const added = this.#add({
      vmId: identity.vmId,
      dataCentre: identity.dataCentre,
      address: undefined,
      isSeed: false,
    });
    this.refreshLinkNeeds();
    return added;
  }

  /** An empty list tells nothing: the platform lost its view. */
  applyListing(listing: VmListing): void {
    const entries = listing.vms.filter((vm) => vm.role === "entry");
    if (entries.length === 0) return;
    const listedIds = new Set(entries.map((vm) => vm.vmId));
    for (const vm of entries) this.#applyListed(vm);
    for (const peer of this.#peers.values()) {
      if (listedIds.has(peer.vmId) || peer.listed === "neverListed") continue;
      peer.listed = "dropped";
    }
    this.refreshLinkNeeds();
  }

  forget(peer: PeerRecord): void {
    this.#peers.delete(peer.vmId);
    peer.isForgotten = true;
    peer.notifyTask();
  }

  refreshLinkNeeds(): void {
    const needs = chooseLinkNeeds(this.#options.self, this.all());
    for (const [peer, need] of needs) {
      if (peer.linkNeed === need) continue;
      peer.linkNeed = need;
      peer.notifyTask();
    }
    const added = this.#added;
    this.#added = [];
    for (const peer of added) this.#options.onAdded(peer);
  }

  #applyListed(vm: ListedVm): void {
    if (vm.vmId === this.#options.self.vmId) {
      this.isSelfListedLeaving = vm.state === "leaving";
      return;
    }
    const address = parseAddress(vm.peerAddress);
    const peer = this.#peers.get(vm.vmId) ??
      this.#add({
        vmId: vm.vmId,
        dataCentre: vm.dataCentre,
        address,
        isSeed: false,
      });
    peer.listed = vm.state;
    if (peer.isSeed || address === undefined) return;
    peer.address = address;
    peer.notifyTask();
  }

  #add(options: PeerRecordOptions): PeerRecord {
    const peer = new PeerRecord(options);
    if (peer.vmId === this.#options.self.vmId) return peer;
    this.#peers.set(peer.vmId, peer);
    this.#added.push(peer);
    return peer;
  }
}

function parseAddress(text: string | undefined): Address | undefined {
  const match = /^(?<host>.+):(?<port>\d{1,5})$/.exec(text ?? "");
  const host = match?.groups?.["host"];
  const port = match?.groups?.["port"];
  if (host === undefined || port === undefined) return undefined;
  return { host, port: Number(port) };
}
