import { toId, type VmId } from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { MAX_FULL_MESH_VMS } from "./link_policy.js";
import {
  makePermitRequest,
  startTestVm,
  stateOf,
  type TestVm,
  waitUntil,
} from "./testing/peer_fleet.js";

/** Long enough for an unwanted connection to be noticed. */
const QUIET_MS = 300;

const openVms: TestVm[] = [];

afterEach(async () => {
  await Promise.all(openVms.splice(0).map((vm) => vm.network.close()));
});

/**
 * Starts two VMs in different data centres that know a fleet above the limit
 * for a full mesh, so that they connect to each other on demand.
 */
async function startInTwoDataCentres(): Promise<{ near: TestVm; far: TestVm }> {
  const near = await startTestVm({ vmId: "near", dataCentre: "palermo" });
  const far = await startTestVm({ vmId: "far", dataCentre: "catania" });
  openVms.push(near, far);
  const entry = { role: "entry" as const, state: "live" as const };
  const reachable = [near, far].map((vm) => ({
    ...entry,
    vmId: vm.vmId,
    dataCentre: vm.network.self.dataCentre,
    peerAddress: `127.0.0.1:${vm.network.address.port}`,
  }));
  // These VMs have no address, so no connection to them is attempted.
  const unreachable = Array.from({ length: 2 * MAX_FULL_MESH_VMS }, (_, n) => ({
    ...entry,
    vmId: toId<VmId>(`other-${n}`),
    dataCentre: (n % 2 === 0 ? near : far).network.self.dataCentre,
  }));
  near.network.setListedVms({ vms: [...reachable, ...unreachable] });
  far.network.setListedVms({ vms: [...reachable, ...unreachable] });
  return { near, far };
}

describe("a peer reached on demand", () => {
  it("receives the messages queued before the connection was made", async () => {
    const { near, far } = await startInTwoDataCentres();
    const received: string[] = [];
    far.network.messages.on("permitRequest", ({ message }) => {
      received.push(message.permitRequest.attemptId);
    });
    let connects = 0;
    near.network.lifecycle.on("connected", () => {
      connects++;
    });
    await sleep(QUIET_MS);
    expect(connects).toEqual(0);
    expect(stateOf(near, "far")).toEqual("live");
    const sent = ["one", "two", "three"];
    for (const id of sent) {
      expect(near.network.send(far.vmId, makePermitRequest(id))).toEqual(true);
    }
    await waitUntil(
      () => received.length >= sent.length,
      "all messages are received",
    );
    expect(received).toEqual(sent);
    expect(connects).toEqual(1);
  });

  it("is gone once it refuses a connection, and sending fails", async () => {
    const { near, far } = await startInTwoDataCentres();
    await far.network.close();
    near.network.send(far.vmId, makePermitRequest("lost"));
    await waitUntil(() => stateOf(near, "far") === "gone", "far is gone");
    expect(near.network.send(far.vmId, makePermitRequest("refused"))).toEqual(
      false,
    );
  });
});
