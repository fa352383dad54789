/**
 * The VM list that the platform serves for a planned cluster.
 *
 * @module
 */

import type { DataCentreName, VmId } from "@sassafrasstage/protocol/ids";
import { toId } from "@sassafrasstage/protocol/ids";
import type { ListedVm } from "@sassafrasstage/protocol/platform_objects";
import { type ClusterPlan, planServers, planVms } from "./cluster_plan.js";

/** Lists all VMs as live; `peerAddresses` is keyed by the id of the entry VM. */
export function listVms(
  plan: ClusterPlan,
  peerAddresses: ReadonlyMap<string, string>,
): ListedVm[] {
  const entryVms = planVms(plan).map((vm): ListedVm => {
    const peerAddress = peerAddresses.get(vm.vmId);
    return {
      vmId: toId<VmId>(vm.vmId),
      dataCentre: toId<DataCentreName>(vm.dataCentre),
      role: "entry",
      state: "live",
      ...(peerAddress === undefined ? {} : { peerAddress }),
    };
  });
  const serverVms = planServers(plan).map((server): ListedVm => ({
    vmId: toId<VmId>(server.vmId),
    dataCentre: toId<DataCentreName>(server.dataCentre),
    role: "backendServer",
    state: "live",
  }));
  return [...entryVms, ...serverVms];
}
