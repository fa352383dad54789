/**
 * The other VMs that can be sent messages.
 *
 * @module
 */

import type { DataCentreName, VmId } from "@sassafrasstage/protocol/ids";
import type { Member, MembershipView } from "./peer_network.js";

export function findReachableMembers(view: MembershipView): Member[] {
  return view.members.filter((member) =>
    !member.isSelf && (member.state === "live" || member.state === "leaving")
  );
}

export function groupByDataCentre(
  members: readonly Member[],
): Map<DataCentreName, VmId[]> {
  const byDataCentre = new Map<DataCentreName, VmId[]>();
  for (const { vmId, dataCentre } of members) {
    const vmIds = byDataCentre.get(dataCentre) ?? [];
    vmIds.push(vmId);
    byDataCentre.set(dataCentre, vmIds);
  }
  return byDataCentre;
}
