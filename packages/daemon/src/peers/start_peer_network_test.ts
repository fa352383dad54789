import type { VmId } from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  countOf,
  makePermitRequest,
  startTestVm,
  stateOf,
  type TestVm,
  type TestVmOptions,
  waitUntil,
} from "./testing/peer_fleet.js";
import { TestRelay } from "./testing/tcp_relay.js";

const openResources: { close(): Promise<void> }[] = [];

afterEach(async () => {
  await Promise.all(
    openResources.splice(0).map((resource) => resource.close()),
  );
});

async function start(options: TestVmOptions): Promise<TestVm> {
  const vm = await startTestVm(options);
  openResources.push(vm.network);
  return vm;
}

async function startRelay(target: TestVm): Promise<TestRelay> {
  const relay = new TestRelay(target.network.address);
  openResources.push(relay);
  await Promise.resolve();
  return relay;
}

function seedOf(
  vm: TestVm,
): { vmId: VmId; address: TestVm["network"]["address"] } {
  return { vmId: vm.vmId, address: vm.network.address };
}

function receivedBy(vm: TestVm): string[] {
  const attempts: string[] = [];
  vm.network.messages.on("permitRequest", ({ message }) => {
    attempts.push(message.permitRequest.attemptId);
  });
  return attempts;
}

async function waitUntilLinked(a: TestVm, b: TestVm): Promise<void> {
  await waitUntil(
    () => stateOf(a, b.vmId) === "live",
    `${a.vmId} sees its peer as live`,
  );
  await waitUntil(
    () => stateOf(b, a.vmId) === "live",
    `${b.vmId} sees its peer as live`,
  );
}

describe("startPeerNetwork", () => {
  it("connects five VMs through one seed and keeps message order", async () => {
    const first = await start({ vmId: "vm-1" });
    const others = await Promise.all(
      ["vm-2", "vm-3", "vm-4", "vm-5"].map((vmId) =>
        start({ vmId, seeds: [seedOf(first)] })
      ),
    );
    const listing = [first, ...others].map((vm) => ({
      vmId: vm.vmId,
      dataCentre: vm.network.self.dataCentre,
      role: "entry" as const,
      state: "live" as const,
      peerAddress: `127.0.0.1:${vm.network.address.port}`,
    }));
    for (const vm of others) vm.network.setListedVms({ vms: listing });
    for (const vm of others) {
      await waitUntilLinked(first, vm);
      for (const other of others) {
        if (vm !== other) await waitUntilLinked(vm, other);
      }
    }
    const [second, third] = others;
    if (second === undefined || third === undefined) throw new Error();
    const received = receivedBy(third);
    const sent = Array.from({ length: 500 }, (_, index) => `attempt-${index}`);
    for (const id of sent) {
      second.network.send(third.vmId, makePermitRequest(id));
    }
    await waitUntil(
      () => received.length >= sent.length,
      "all messages are received",
    );
    expect(received).toEqual(sent);
  });

  it("rejects and counts a wrong shared key", async () => {
    const a = await start({ vmId: "vm-a" });
    const b = await start({
      vmId: "vm-b",
      sharedKey: "another key for tests",
      seeds: [seedOf(a)],
    });
    await waitUntil(
      async () => await countOf(a, "drops_total", "wrongSharedKey") > 0,
      "the wrong key is counted",
    );
    expect(b.network.send(a.vmId, makePermitRequest("attempt"))).toEqual(false);
    expect(stateOf(b, "vm-a")).toEqual("silent");
    expect(stateOf(a, "vm-b")).toEqual(undefined);
  });

  it("detects a half-open connection, and reconnects afterwards", async () => {
    const b = await start({ vmId: "vm-b" });
    const relay = await startRelay(b);
    const a = await start({
      vmId: "vm-a",
      seeds: [{ vmId: "vm-b", address: await relay.listen() }],
    });
    await waitUntilLinked(a, b);
    relay.setMode("halfOpen");
    await waitUntil(() => stateOf(a, "vm-b") === "silent", "b is silent");
    await waitUntil(() => stateOf(b, "vm-a") === "silent", "a is silent");
    a.network.setListedVms({ vms: [] });
    expect(stateOf(a, "vm-b")).toEqual("silent");
    relay.setMode("forward");
    await waitUntilLinked(a, b);
  });

  it("reconnects after a disconnect and after invalid bytes", async () => {
    const b = await start({ vmId: "vm-b" });
    const relay = await startRelay(b);
    const a = await start({
      vmId: "vm-a",
      seeds: [{ vmId: "vm-b", address: await relay.listen() }],
    });
    await waitUntilLinked(a, b);
    let disconnects = 0;
    a.network.lifecycle.on("disconnected", () => {
      disconnects++;
    });
    relay.cutConnections();
    await waitUntil(
      () => disconnects === 1,
      "the closed connection is noticed",
    );
    const received = receivedBy(b);
    await waitUntil(
      () => a.network.send(b.vmId, makePermitRequest("after cut")),
      "the message is sent",
    );
    await waitUntil(
      () => received.length > 0,
      "a message is received after the reconnect",
    );
    relay.inject(Buffer.from("ffffffff00", "hex"));
    await waitUntil(
      () => disconnects === 2,
      "the invalid bytes close the connection",
    );
    const badFrames = await countOf(a, "drops_total", "badFrame") +
      await countOf(b, "drops_total", "badFrame");
    expect(badFrames).toBeGreaterThan(0);
    await waitUntil(
      () => a.network.send(b.vmId, makePermitRequest("again")),
      "the second message is sent",
    );
    await waitUntil(
      () => received.includes("again"),
      "the second message is received",
    );
  });

  it("keeps a delayed peer live", async () => {
    const b = await start({ vmId: "vm-b", heartbeatTimeoutMs: 2000 });
    const relay = await startRelay(b);
    const a = await start({
      vmId: "vm-a",
      heartbeatTimeoutMs: 2000,
      seeds: [{ vmId: "vm-b", address: await relay.listen() }],
    });
    relay.setDelayMs(60);
    await waitUntilLinked(a, b);
    const states = new Set<string>();
    a.network.lifecycle.on("membershipChanged", (view) => {
      for (const member of view.members) states.add(member.state);
    });
    await sleep(500);
    expect(states.has("silent")).toEqual(false);
  });

  it("reports a refusing peer as gone, and as live once restarted", async () => {
    const a = await start({ vmId: "vm-a" });
    const b = await startTestVm({ vmId: "vm-b", seeds: [seedOf(a)] });
    const c = await start({ vmId: "vm-c", seeds: [seedOf(a), seedOf(b)] });
    await waitUntilLinked(b, c);
    const { port } = b.network.address;
    await b.network.close();
    await waitUntil(() => stateOf(c, "vm-b") === "gone", "b is gone");
    expect(stateOf(a, "vm-b")).not.toEqual("gone");
    await start({ vmId: "vm-b", incarnation: "incarnation-2", port });
    await waitUntil(() => stateOf(c, "vm-b") === "live", "b is back");
  });

  it("replaces a connection with that of a new incarnation", async () => {
    const a = await start({ vmId: "vm-a" });
    const previous = await start({ vmId: "vm-b", seeds: [seedOf(a)] });
    await waitUntilLinked(a, previous);
    const connectionEvents: string[] = [];
    a.network.lifecycle.on("connected", (peer) => {
      connectionEvents.push(peer.incarnation);
    });
    a.network.lifecycle.on("disconnected", (peer) => {
      connectionEvents.push(`-${peer.incarnation}`);
    });
    const restarted = await start({
      vmId: "vm-b",
      incarnation: "incarnation-2",
      seeds: [seedOf(a)],
    });
    await waitUntil(
      async () =>
        await countOf(a, "events_total", "peer.replacedIncarnation") > 1,
      "the old incarnation is rejected",
    );
    expect(connectionEvents).toEqual(["-incarnation-1", "incarnation-2"]);
    const received = receivedBy(restarted);
    a.network.send(restarted.vmId, makePermitRequest("to the new incarnation"));
    await waitUntil(
      () => received.length === 1,
      "the new incarnation receives the message",
    );
  });

  it("announces that it is leaving", async () => {
    const a = await start({ vmId: "vm-a" });
    const b = await start({ vmId: "vm-b", seeds: [seedOf(a)] });
    await waitUntilLinked(a, b);
    b.network.announceLeaving();
    await waitUntil(() => stateOf(a, "vm-b") === "leaving", "b is leaving");
    expect(stateOf(b, "vm-b")).toEqual("leaving");
  });

  it("changes no member's state by the platform's list alone", async () => {
    const a = await start({ vmId: "vm-a" });
    const b = await startTestVm({ vmId: "vm-b", seeds: [seedOf(a)] });
    await waitUntilLinked(a, b);
    const entry = {
      vmId: b.vmId,
      dataCentre: b.network.self.dataCentre,
      role: "entry" as const,
      state: "live" as const,
    };
    const self = { ...entry, vmId: a.vmId };
    a.network.setListedVms({ vms: [self, entry] });
    a.network.setListedVms({ vms: [self] });
    expect(stateOf(a, "vm-b")).toEqual("live");
    a.network.setListedVms({ vms: [self, entry] });
    await b.network.close();
    await waitUntil(() => stateOf(a, "vm-b") === "silent", "b is silent");
    a.network.setListedVms({ vms: [self, entry] });
    expect(stateOf(a, "vm-b")).toEqual("silent");
    a.network.setListedVms({ vms: [self] });
    await waitUntil(
      () => (stateOf(a, "vm-b") ?? "gone") === "gone",
      "b is gone, being silent and no longer listed",
    );
  });

  it("treats its knowledge of peers as stale after a pause", async () => {
    let skippedMs = 0;
    const clock = { nowMs: () => performance.now() + skippedMs };
    const b = await start({ vmId: "vm-b" });
    const a = await start({ vmId: "vm-a", clock, seeds: [seedOf(b)] });
    await waitUntilLinked(a, b);
    const states: (string | undefined)[] = [];
    a.network.lifecycle.on("membershipChanged", (view) => {
      states.push(view.members.find((m) => m.vmId === "vm-b")?.state);
    });
    skippedMs = 100_000;
    const view = a.network.view(clock.nowMs());
    expect(view.members.find((m) => m.vmId === "vm-b")?.state).toEqual(
      "silent",
    );
    await waitUntil(() => states.length === 2, "b is live again");
    expect(states).toEqual(["silent", "live"]);
  });
});
