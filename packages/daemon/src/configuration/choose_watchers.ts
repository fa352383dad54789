/**
 * Which daemons of a data centre hold the watch on the platform's head object.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import { createHash } from "node:crypto";
import type { Member, MembershipView } from "../peers/peer_network.js";

export const WATCHERS_PER_DATA_CENTRE = 2;

/**
 * The live daemons of this one's data centre with the highest weights, by
 * rendezvous hashing: all who see the same members choose the same ones.
 *
 * @example
 * ```ts
 * const isWatcher = chooseWatchers(network.view(nowMs)).includes(self.vmId);
 * ```
 */
export function chooseWatchers(view: MembershipView): VmId[] {
  return listLiveNeighbours(view)
    .map((member) => ({ vmId: member.vmId, weight: weigh(member.vmId) }))
    .sort((one, other) => one.weight < other.weight ? -1 : 1)
    .slice(0, WATCHERS_PER_DATA_CENTRE)
    .map((candidate) => candidate.vmId);
}

/** The live daemons of this one's data centre, itself included. */
export function listLiveNeighbours(view: MembershipView): Member[] {
  const self = view.members.find((member) => member.isSelf);
  return view.members.filter((member) =>
    member.isSelf ||
    (member.state === "live" && member.dataCentre === self?.dataCentre)
  );
}

function weigh(vmId: VmId): string {
  return createHash("sha256").update(`configurationWatcher/${vmId}`)
    .digest("hex");
}
