/**
 * Selects the VMs that may coordinate stage services.
 *
 * Load pattern: VMs differ in size, and the coordinator's work grows with the
 * load of the whole fleet. A small VM falls behind at a load that a large one
 * bears, so only VMs close to the largest one in size coordinate. A VM that is cut
 * off from servers would keep the requests of all VMs waiting.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { Member } from "../peers/peer_network.js";

/** Minimum processor capacity of a coordinator, relative to the largest VM. */
const MIN_RELATIVE_CAPACITY = 0.5;

/**
 * Returns the live VMs that are large enough and reach servers of all services,
 * or the large ones if there is no such VM. VMs of unknown size coordinate
 * only if the size of no live VM is known.
 *
 * @example
 * ```ts
 * const candidates = coordinatorCandidates(network.view(nowMs).members);
 * ```
 */
export function coordinatorCandidates(members: readonly Member[]): VmId[] {
  const allLive = members.filter((member) => member.state === "live");
  const reaching = allLive.filter((member) => !isCutOff(member));
  const live = reaching.length > 0 ? reaching : allLive;
  const largest = Math.max(
    0,
    ...live.map((member) => member.processorCores ?? 0),
  );
  return live
    .filter((member) =>
      (member.processorCores ?? 0) >= largest * MIN_RELATIVE_CAPACITY
    )
    .map((member) => member.vmId);
}

/** Whether the VM reaches no server of some service that other VMs reach. */
export function isCutOff({ cutOffServices = [] }: Member): boolean {
  return cutOffServices.length > 0;
}
