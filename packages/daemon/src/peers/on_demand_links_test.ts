import { toId, type VmId } from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { MAX_FULLY_LINKED_VMS } from "./link_choice.js";
import {
  makePermitRequest,
  startTestVm,
  stateOf,
  type TestVm,
  until,
} from "./testing/peer_fleet.js";

/** Long enough for a connection that should not be made. */
const QUIET_MS = 300;

const open: TestVm[] = [];

afterEach(async () => {
  await Promise.all(open.splice(0).map((vm) => vm.network.close()));
});

/** Two VMs far apart that know a fleet too large for all to be linked. */
async function startFarApart(): Promise<{ near: TestVm; far: TestVm }> {
  const near = await startTestVm({ vmId: "near", dataCentre: "palermo" });
  const far = await startTestVm({ vmId: "far", dataCentre: "catania" });
  open.push(near, far);
  const entry = { role: "entry" as const, state: "live" as const };
  const real = [near, far].map((vm) => ({
    ...entry,
    vmId: vm.vmId,
    dataCentre: vm.network.self.dataCentre,
    peerAddress: `127.0.0.1:${vm.network.address.port}`,
  }));
  // Addresses that nobody needs to reach: the on-demand ones aren't dialed.
  const others = Array.from({ length: 2 * MAX_FULLY_LINKED_VMS }, (_, n) => ({
    ...entry,
    vmId: toId<VmId>(`other-${n}`),
    dataCentre: (n % 2 === 0 ? near : far).network.self.dataCentre,
  }));
  near.network.setListedVms({ vms: [...real, ...others] });
  far.network.setListedVms({ vms: [...real, ...others] });
  return { near, far };
}

describe("a peer reached on demand", () => {
  it("gets the first messages once the connection is made", async () => {
    const { near, far } = await startFarApart();
    const received: string[] = [];
    far.network.messages.on("permitRequest", ({ message }) => {
      received.push(message.permitRequest.attemptId);
    });
    let links = 0;
    near.network.life.on("connected", () => {
      links++;
    });
    await sleep(QUIET_MS);
    expect(links).toEqual(0);
    expect(stateOf(near, "far")).toEqual("live");
    const sent = ["one", "two", "three"];
    for (const id of sent) {
      expect(near.network.send(far.vmId, makePermitRequest(id))).toEqual(true);
    }
    await until(() => received.length >= sent.length, "all received");
    expect(received).toEqual(sent);
    expect(links).toEqual(1);
  });

  it("is gone once it refuses, and takes nothing then", async () => {
    const { near, far } = await startFarApart();
    await far.network.close();
    near.network.send(far.vmId, makePermitRequest("lost"));
    await until(() => stateOf(near, "far") === "gone", "far is gone");
    expect(near.network.send(far.vmId, makePermitRequest("refused"))).toEqual(
      false,
    );
  });
});
