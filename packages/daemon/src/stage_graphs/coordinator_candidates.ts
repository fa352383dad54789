/**
 * Selects the VMs that may coordinate stage services.
 *
 * Load pattern: VMs differ in size, and the coordinator's work grows with the
 * load of the whole fleet. A small VM falls behind at a load that a large one
 * bears, so only VMs close to the largest one in size coordinate.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { Member } from "../peers/peer_network.js";

/** Minimum processor capacity of a coordinator, relative to the largest VM. */
const MIN_RELATIVE_CAPACITY = 0.5;

/**
 * Returns the live VMs that are large enough. VMs of unknown size coordinate
 * only if the size of no live VM is known.
 *
 * @example
 * ```ts
 * const candidates = coordinatorCandidates(network.view(nowMs).members);
 * ```
 */
export function coordinatorCandidates(members: readonly Member[]): VmId[] {
  const live = members.filter((member) => member.state === "live");
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
