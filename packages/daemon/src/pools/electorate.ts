/**
 * The VMs of a data centre that vote on the ownership of its pools. An owner
 * needs the support of a majority of them.
 *
 * @module
 */

import type { DataCentreName, VmId } from "@sassafrasstage/protocol/ids";
import type { VmListing } from "@sassafrasstage/protocol/platform_objects";
import type { Member } from "../peers/peer_network.js";

/** Sorted by VM id. */
export type Electorate = readonly VmId[];

export interface ElectorateSources {
  readonly dataCentre: DataCentreName;
  readonly self: VmId;
  readonly members: readonly Member[];
  readonly listing: VmListing | undefined;
}

/**
 * All entry VMs of the data centre that are in the platform's list or in the
 * membership view, except those that are gone.
 *
 * @example
 * ```ts
 * const electorate = findElectorate({ dataCentre, self, members, listing });
 * ```
 */
export function findElectorate(sources: ElectorateSources): Electorate {
  const voters = new Set<VmId>([sources.self]);
  for (const vm of sources.listing?.vms ?? []) {
    if (vm.role !== "entry" || vm.dataCentre !== sources.dataCentre) continue;
    voters.add(vm.vmId);
  }
  for (const member of sources.members) {
    if (member.dataCentre !== sources.dataCentre || member.isSelf) continue;
    if (member.state === "gone") voters.delete(member.vmId);
    else voters.add(member.vmId);
  }
  return [...voters].sort();
}

/**
 * Whether the given VMs are more than half of the electorate, or exactly half
 * of it including its lowest VM id. Two disjoint sets are never both a
 * majority.
 *
 * @example
 * ```ts
 * isMajority(new Set([first]), [first, second]); // true
 * ```
 */
export function isMajority(
  vms: ReadonlySet<VmId>,
  electorate: Electorate,
): boolean {
  const counted = electorate.filter((vmId) => vms.has(vmId)).length;
  if (2 * counted !== electorate.length) {
    return 2 * counted > electorate.length;
  }
  const [lowest] = electorate;
  return lowest !== undefined && vms.has(lowest);
}
