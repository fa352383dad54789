/**
 * Chooses the daemons of a data centre that watch the platform's head object.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { Member, MembershipView } from "../peers/peer_network.js";
import { rankByRendezvous } from "../peers/rendezvous.js";

const WATCHERS_PER_DATA_CENTRE = 2;
const RENDEZVOUS_KEY = "configurationWatchers";

/**
 * Chooses the live daemons of this data centre with the highest weights by
 * rendezvous hashing: daemons that see the same members make the same choice.
 *
 * @example
 * ```ts
 * const isWatcher = chooseWatchers(network.view(nowMs)).includes(self.vmId);
 * ```
 */
export function chooseWatchers(view: MembershipView): VmId[] {
  const vmIds = listLiveLocalDaemons(view).map((member) => member.vmId);
  return rankByRendezvous(RENDEZVOUS_KEY, vmIds)
    .slice(0, WATCHERS_PER_DATA_CENTRE);
}

/** The live daemons of this daemon's data centre, itself included. */
export function listLiveLocalDaemons(view: MembershipView): Member[] {
  const self = view.members.find((member) => member.isSelf);
  return view.members.filter((member) =>
    member.isSelf ||
    (member.state === "live" && member.dataCentre === self?.dataCentre)
  );
}
