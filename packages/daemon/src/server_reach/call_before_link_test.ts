import {
  type BackendServerId,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { MONOTONIC_CLOCK } from "../clock.js";
import {
  makeRoutedRequest,
  RecordingLogger,
} from "../forwarding/testing/sample_forwarding.js";
import { Metrics } from "../observability/metrics.js";
import { MAX_FULL_MESH_VMS } from "../peers/link_policy.js";
import {
  startTestVm,
  type TestVm,
  waitUntil,
} from "../peers/testing/peer_fleet.js";
import { ServerRegister } from "../register/server_register.js";
import { makeReport } from "../testing/stage_samples.js";
import { RelayedCallClient } from "./relayed_call_client.js";
import { RelayPeers } from "./relay_peers.js";

const SERVER_ID = toId<BackendServerId>("engine-1");

interface CallUnderTest {
  readonly outcomes: string[];
}

const openVms: TestVm[] = [];

afterEach(async () => {
  await Promise.all(openVms.splice(0).map((vm) => vm.network.close()));
});

/** VMs of a fleet too large for links between all, without one between them. */
async function startUnlinked(): Promise<{ near: TestVm; far: TestVm }> {
  const near = await startTestVm({ vmId: "near", dataCentre: "palermo" });
  const far = await startTestVm({ vmId: "far", dataCentre: "catania" });
  openVms.push(near, far);
  const entry = { role: "entry" as const, state: "live" as const };
  const vms = [near, far].map((vm) => ({
    ...entry,
    vmId: vm.vmId,
    dataCentre: vm.network.self.dataCentre,
    peerAddress: `127.0.0.1:${vm.network.address.port}`,
  }));
  const others = Array.from({ length: 2 * MAX_FULL_MESH_VMS }, (_, n) => ({
    ...entry,
    vmId: toId<VmId>(`other-${n}`),
    dataCentre: (n % 2 === 0 ? near : far).network.self.dataCentre,
  }));
  for (const vm of [near, far]) {
    vm.network.setListedVms({ vms: [...vms, ...others] });
  }
  return { near, far };
}

function startCall(near: TestVm, far: TestVm): CallUnderTest {
  const { network } = near;
  const register = new ServerRegister(() => undefined);
  register.apply(makeReport(SERVER_ID), 0);
  const server = register.get(SERVER_ID);
  if (server === undefined) throw new Error("The server isn't registered");
  const outcomes: string[] = [];
  const client = new RelayedCallClient({
    network,
    peers: new RelayPeers({ network, clock: MONOTONIC_CLOCK, random: () => 0 }),
    metrics: new Metrics(),
    logger: new RecordingLogger(),
  });
  client.start(far.vmId, {
    server,
    request: makeRoutedRequest("/draft/1"),
    connectionShare: 4,
    maySend: () => true,
    remainingMs: 5000,
    account: undefined,
    inputs: undefined,
    resumeAfter: undefined,
  }, {
    onSend: () => outcomes.push("sent"),
    onHead: () => outcomes.push("head"),
    onBody: () => outcomes.push("body"),
    onEnd: () => outcomes.push("ended"),
    onFailure: ({ kind }) => outcomes.push(kind),
  });
  return { outcomes };
}

// Guards against a call that is reported as failed while the peer makes it, and
// against one that is never reported.
describe("a call handed over before there is a link to the peer", () => {
  it("goes on once the link is made", async () => {
    const { near, far } = await startUnlinked();
    far.network.messages.on("serverCall", ({ from, message }) => {
      const { callNumber } = message;
      for (const kind of ["sent", "ended"] as const) {
        far.network.send(from.vmId, {
          type: "serverCallEvent",
          callNumber,
          event: { kind },
        });
      }
    });
    const call = startCall(near, far);
    await waitUntil(() => call.outcomes.length >= 2, "the call has ended");
    expect(call.outcomes).toEqual(["sent", "ended"]);
  });

  it("has not been sent if the link can't be made", async () => {
    const { near, far } = await startUnlinked();
    await far.network.close();
    const call = startCall(near, far);
    await waitUntil(() => call.outcomes.length > 0, "the call has failed");
    expect(call.outcomes).toEqual(["notSent"]);
  });
});
