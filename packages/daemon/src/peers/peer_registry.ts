/**
 * The other daemons known to this one, from the settings, from the platform's
 * list of VMs, or because they connected to it.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type {
  ListedVm,
  VmListing,
} from "@sassafrasstage/protocol/platform_objects";
import type { Address, PeerSeed } from "../settings/settings.js";
import { chooseLinkPolicies } from "./link_policy.js";
import type { PeerIdentity } from "./peer_network.js";
import { PeerRecord, type PeerRecordOptions } from "./peer_record.js";

export interface PeerRegistryOptions {
  readonly self: PeerIdentity;
  /** Called once for each new peer, after its link policy is set. */
  readonly onAdded: (peer: PeerRecord) => void;
}

/** The known peers, by VM id. */
export class PeerRegistry {
  readonly #options: PeerRegistryOptions;
  readonly #peers = new Map<VmId, PeerRecord>();
  #added: PeerRecord[] = [];
  /** Whether the platform's list shows this VM as leaving. */
  isSelfListedLeaving = false;
  /** Processor capacity in this VM's entry of the platform's list. */
  selfProcessorCores: number | undefined;

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
    this.updateLinkPolicies();
  }

  /** Returns the record of an authenticated peer, adding one if necessary. */
  getOrAdd(identity: PeerIdentity): PeerRecord {
    const known = this.#peers.get(identity.vmId);
    if (known !== undefined) return known;
    const added = this.#add({
      vmId: identity.vmId,
      dataCentre: identity.dataCentre,
      address: undefined,
      isSeed: false,
    });
    this.updateLinkPolicies();
    return added;
  }

  /**
   * Applies the platform's list of VMs. A list without entry VMs is ignored: it
   * means that the platform has lost its view of the VMs.
   */
  applyListing(listing: VmListing): void {
    const entries = listing.vms.filter((vm) => vm.role === "entry");
    if (entries.length === 0) return;
    const listedIds = new Set(entries.map((vm) => vm.vmId));
    for (const vm of entries) this.#applyListedVm(vm);
    for (const peer of this.#peers.values()) {
      if (listedIds.has(peer.vmId) || peer.listed === "neverListed") continue;
      peer.listed = "dropped";
    }
    this.updateLinkPolicies();
  }

  remove(peer: PeerRecord): void {
    this.#peers.delete(peer.vmId);
    peer.isRemoved = true;
    peer.notifyTask();
  }

  updateLinkPolicies(): void {
    const policies = chooseLinkPolicies(this.#options.self, this.all());
    for (const [peer, policy] of policies) {
      if (peer.linkPolicy === policy) continue;
      peer.linkPolicy = policy;
      peer.notifyTask();
    }
    const added = this.#added;
    this.#added = [];
    for (const peer of added) this.#options.onAdded(peer);
  }

  #applyListedVm(vm: ListedVm): void {
    if (vm.vmId === this.#options.self.vmId) {
      this.isSelfListedLeaving = vm.state === "leaving";
      this.selfProcessorCores = vm.processorCores;
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
    peer.processorCores = vm.processorCores;
    if (peer.isSeed || address === undefined) return;
    if (isSameAddress(peer.address, address)) return;
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

function isSameAddress(a: Address | undefined, b: Address): boolean {
  return a?.host === b.host && a.port === b.port;
}
