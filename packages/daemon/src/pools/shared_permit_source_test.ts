import { toId } from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { describe, it } from "node:test";
import { electOwner } from "./owner_election.js";
import { ClusterLoad } from "./testing/cluster_load.js";
import {
  type ClusterNode,
  InMemoryCluster,
} from "./testing/in_memory_cluster.js";
import {
  makeConfiguration,
  makePool,
  makeVmId,
  type TestLayout,
} from "./testing/test_configuration.js";

const THREE_VMS = { "vm-1": "palermo", "vm-2": "palermo", "vm-3": "palermo" };
/** Covers a lease, the voters' wait after start-up and the longest permit. */
const SETTLE_MS = 4000;
const LOAD = { everyMs: 20 };
/** The state of a palermo server by where it was observed to be warm. */
const ADOPTED_STATES = [
  ["palermo", "warming"],
  ["catania", "unknown"],
] as const;
const VM_PAIRS = [["vm-1", "vm-2"], ["vm-2", "vm-1"]] as const;
/** Owners count as silent, but keep their leases. */
const SILENCE_MS = 800;
/** Longer than the silence of an owner. */
const LONG_CALL_MS = 1000;

interface Fixture {
  readonly cluster: InMemoryCluster;
  readonly load: ClusterLoad;
}

interface FixtureOptions extends Partial<TestLayout> {
  readonly vms?: Readonly<Record<string, string>>;
}

async function makeFixture(options: FixtureOptions = {}): Promise<Fixture> {
  const { vms, ...layout } = options;
  const cluster = new InMemoryCluster({
    vms: vms ?? THREE_VMS,
    configuration: makeConfiguration({ servers: { palermo: 2 }, ...layout }),
  });
  await cluster.advance(SETTLE_MS);
  return { cluster, load: new ClusterLoad(cluster) };
}

/** The servers never warm up, so every grant is for a cold server. */
async function makeColdFixture(options: FixtureOptions = {}): Promise<Fixture> {
  return await makeFixture({ warmAfterCompletions: 10_000, ...options });
}

function ownersOf(cluster: InMemoryCluster): ClusterNode[] {
  return cluster.nodes.filter((node) =>
    node.killedAtMs === undefined &&
    node.permits.statuses(cluster.nowMs).some((pool) => pool.isOwnedHere)
  );
}

function ownerOf(cluster: InMemoryCluster): ClusterNode {
  const [owner] = ownersOf(cluster);
  if (owner === undefined) throw new Error("No live node owns the pool");
  return owner;
}

function coldGrantingOwners(cluster: InMemoryCluster): ClusterNode[] {
  return ownersOf(cluster).filter((node) =>
    node.permits.statuses(cluster.nowMs)
      .some((pool) => pool.coldGrants === "allowed")
  );
}

function otherNode(node: ClusterNode, cluster: InMemoryCluster): ClusterNode {
  const other = cluster.nodes.find((candidate) => candidate !== node);
  if (other === undefined) throw new Error("There is only one node");
  return other;
}

/** The node that neither owns the pool nor would be elected after the owner. */
function nonCandidateOf(
  owner: ClusterNode,
  cluster: InMemoryCluster,
): ClusterNode {
  const rest = cluster.viewOf(owner).filter((member) => !member.isSelf);
  const next = electOwner(makePool("palermo"), rest);
  const nonCandidate = cluster.nodes.find((node) =>
    node !== owner && node.identity.vmId !== next
  );
  if (nonCandidate === undefined) throw new Error("No third node");
  return nonCandidate;
}

async function expectAllAnswered({ cluster, load }: Fixture): Promise<void> {
  await cluster.advance(SETTLE_MS);
  expect(load.unanswered).toEqual(0);
  expect(load.overLimitCalls).toEqual(0);
}

describe("SharedPermitSource", () => {
  it("warms servers up without exceeding the cold limit", async () => {
    const fixture = await makeFixture();
    await fixture.load.run(3000, LOAD);
    await expectAllAnswered(fixture);
    expect(fixture.load.server("palermo-1").isCold).toEqual(false);
    expect(fixture.load.server("palermo-2").isCold).toEqual(false);
    expect(fixture.load.counts.completed).toEqual(fixture.load.counts.granted);
  });

  it("has at most one owner with cold grants while the former owner is isolated", async () => {
    const fixture = await makeColdFixture();
    const { cluster, load } = fixture;
    const former = ownerOf(cluster);
    cluster.isolate(former);
    let maxGrantingOwners = 0;
    for (let step = 0; step < 200; step++) {
      await load.run(20, LOAD);
      maxGrantingOwners = Math.max(
        maxGrantingOwners,
        coldGrantingOwners(cluster).length,
      );
    }
    expect(maxGrantingOwners).toEqual(1);
    expect(ownersOf(cluster).length).toEqual(2);
    expect(coldGrantingOwners(cluster).includes(former)).toEqual(false);
    cluster.heal();
    await load.run(3000, LOAD);
    expect(ownersOf(cluster)).toEqual([former]);
    await expectAllAnswered(fixture);
  });

  it("grants warm servers on both sides of a network partition", async () => {
    const fixture = await makeFixture();
    const { cluster, load } = fixture;
    await load.run(3000, LOAD);
    const former = ownerOf(cluster);
    cluster.isolate(former);
    await load.run(2000, LOAD);
    const before = load.counts.completed;
    for (let step = 0; step < 50; step++) {
      load.call(former);
      await cluster.advance(20);
    }
    expect(load.counts.completed - before >= 40).toEqual(true);
    await expectAllAnswered(fixture);
  });

  it("replaces a frozen owner, which gives up cold grants when it resumes", async () => {
    const fixture = await makeColdFixture();
    const { cluster, load } = fixture;
    const frozen = ownerOf(cluster);
    await load.run(1000, LOAD);
    frozen.isFrozen = true;
    await load.run(6000, LOAD);
    expect(coldGrantingOwners(cluster).filter((node) => node !== frozen).length)
      .toEqual(1);
    const before = load.counts.granted;
    frozen.isFrozen = false;
    for (let step = 0; step < 150; step++) {
      await load.run(20, LOAD);
      expect(coldGrantingOwners(cluster).length <= 1).toEqual(true);
    }
    expect(load.counts.granted > before).toEqual(true);
    await expectAllAnswered(fixture);
  });

  it("rejects a permit that expired while its permit client was frozen", async () => {
    const fixture = await makeColdFixture({ servers: { palermo: 1 } });
    const { cluster, load } = fixture;
    const permitClient = otherNode(ownerOf(cluster), cluster);
    load.call(permitClient);
    while (load.counts.granted === 0) await cluster.advance(5);
    permitClient.isFrozen = true;
    await cluster.advance(5000);
    // The permit has expired, so the server is granted to others without a release.
    await load.run(2000, LOAD);
    permitClient.isFrozen = false;
    await load.run(2000, LOAD);
    expect(load.counts.expiredPermits >= 1).toEqual(true);
    await expectAllAnswered(fixture);
  });

  it("withholds cold grants until the permits of killed members have expired", async () => {
    const fixture = await makeColdFixture();
    const { cluster, load } = fixture;
    const owner = ownerOf(cluster);
    load.call(owner);
    load.call(owner);
    await cluster.advance(20);
    cluster.kill(owner);
    const killedAtMs = cluster.nowMs;
    while (coldGrantingOwners(cluster).length === 0) await load.run(20, LOAD);
    const deadlineMs = 2000;
    expect(cluster.nowMs - killedAtMs >= deadlineMs).toEqual(true);
    expect(cluster.nowMs - killedAtMs < 2 * deadlineMs).toEqual(true);
    await load.run(1000, LOAD);
    await expectAllAnswered(fixture);
  });

  it("keeps granting warm servers during a takeover", async () => {
    const fixture = await makeFixture();
    const { cluster, load } = fixture;
    await load.run(3000, LOAD);
    cluster.kill(ownerOf(cluster));
    await cluster.advance(500);
    const before = load.counts.completed;
    await load.run(1000, {
      everyMs: 20,
      permitRequest: { latestStartInMs: 200 },
    });
    // Two nodes make 100 calls: one each every 20 ms for one second.
    expect(load.counts.completed - before >= 90).toEqual(true);
    await expectAllAnswered(fixture);
  });

  it("applies the cold limit once a server that turned cold has rejected a call", async () => {
    const fixture = await makeFixture();
    const { cluster, load } = fixture;
    await load.run(3000, LOAD);
    load.server("palermo-1").turnCold();
    await load.run(3000, { everyMs: 5 });
    expect(load.server("palermo-1").gracePeriodCalls >= 1).toEqual(
      true,
    );
    cluster.kill(ownerOf(cluster));
    load.server("palermo-2").turnCold();
    await load.run(3000, { everyMs: 5 });
    await expectAllAnswered(fixture);
  });

  it("doesn't clear a server that rejected a call before it has warmed up", async () => {
    const fixture = await makeFixture({ warmAfterCompletions: 20 });
    const { load } = fixture;
    await load.run(4000, LOAD);
    expect(load.server("palermo-1").isCold).toEqual(false);
    load.server("palermo-1").turnCold();
    await load.run(3000, { everyMs: 5 });
    expect(load.server("palermo-1").gracePeriodCalls >= 1).toEqual(true);
    await expectAllAnswered(fixture);
  });

  for (const [dataCentre, state] of ADOPTED_STATES) {
    it(`takes a server observed to be warm in ${dataCentre} for ${state}`, async () => {
      const cluster = new InMemoryCluster({
        vms: { "vm-1": "palermo", "vm-2": dataCentre },
        configuration: makeConfiguration({ servers: { palermo: 1 } }),
      });
      for (const [from, to] of VM_PAIRS) {
        cluster.send(cluster.node(from), makeVmId(to), {
          type: "outstandingReply",
          pool: makePool("palermo"),
          requestNumber: 0,
          permits: [],
          observations: [{
            backendServerId: toId("palermo-1"),
            warmUpState: "warm",
            ageMs: 10,
          }],
        });
      }
      await cluster.advance(100);
      const [pool] = ownerOf(cluster).permits.statuses(cluster.nowMs);
      expect(pool?.backendServers[0]?.state).toEqual(state);
    });
  }

  it("counts what others granted themselves while it was silent", async () => {
    const { cluster } = await makeFixture({ warmAfterCompletions: 20 });
    const warmUp = new ClusterLoad(cluster);
    await warmUp.run(4000, LOAD);
    const load = new ClusterLoad(cluster, LONG_CALL_MS);
    for (const id of ["palermo-1", "palermo-2"]) load.server(id).warmUp();
    const owner = ownerOf(cluster);
    owner.isFrozen = true;
    await load.run(SILENCE_MS, LOAD);
    const grantedInSilence = load.server("palermo-1").inFlight;
    expect(grantedInSilence >= 1).toEqual(true);
    for (const id of ["palermo-1", "palermo-2"]) load.server(id).turnCold();
    owner.isFrozen = false;
    await load.run(LONG_CALL_MS, LOAD);
    expect(ownersOf(cluster)).toEqual([owner]);
    expect(load.overLimitCalls).toEqual(0);
  });

  describe("after a pause of the owner", () => {
    /** The owner resumes; heartbeats reach it before what the others observed. */
    async function resumeOwner({ cluster, load }: Fixture, owner: ClusterNode) {
      while (cluster.nowMs % 200 !== 175) await load.run(5, { everyMs: 5 });
      cluster.loseMessagesTo(owner);
      owner.isFrozen = false;
      await cluster.advance(5);
      for (const other of cluster.nodes) cluster.loseMessagesTo(other);
      await load.run(60, { everyMs: 5 });
    }

    function isAnyWarm(owner: ClusterNode, cluster: InMemoryCluster): boolean {
      return owner.permits.statuses(cluster.nowMs).some((pool) =>
        pool.backendServers.some(({ state }) =>
          state === "warming" || state === "warm"
        )
      );
    }

    it("doesn't believe what it observed before", async () => {
      const fixture = await makeFixture({ warmAfterCompletions: 20 });
      const { cluster, load } = fixture;
      await load.run(4000, LOAD);
      const owner = ownerOf(cluster);
      owner.isFrozen = true;
      await load.run(1500, LOAD);
      for (const id of ["palermo-1", "palermo-2"]) load.server(id).turnCold();
      await load.run(300, { everyMs: 5 });
      await resumeOwner(fixture, owner);
      expect(load.server("palermo-1").isCold).toEqual(true);
      expect(isAnyWarm(owner, cluster)).toEqual(false);
    });

    it("believes what the others observed meanwhile", async () => {
      const fixture = await makeFixture({ warmAfterCompletions: 20 });
      const { cluster, load } = fixture;
      await load.run(4000, LOAD);
      const owner = ownerOf(cluster);
      owner.isFrozen = true;
      await load.run(1500, LOAD);
      await resumeOwner(fixture, owner);
      await load.run(150, LOAD);
      expect(isAnyWarm(owner, cluster)).toEqual(true);
      await expectAllAnswered(fixture);
    });
  });

  it("grants no permits for servers that are taken out or leaving", async () => {
    const fixture = await makeFixture({ servers: { palermo: 3 } });
    const { cluster, load } = fixture;
    await load.run(2000, LOAD);
    cluster.adopt(makeConfiguration({
      servers: { palermo: 3 },
      backendServersOut: ["palermo-1"],
      generation: 2,
    }));
    cluster.listing = {
      vms: ["palermo-1", "palermo-2", "palermo-3"].map((id) => ({
        vmId: `host-${id}`,
        dataCentre: "palermo",
        role: "backendServer",
        state: id === "palermo-2" ? "leaving" : "live",
      })),
    } as never;
    await cluster.advance(100);
    const before = ["palermo-1", "palermo-2", "palermo-3"]
      .map((id) => load.server(id).startedCalls);
    await load.run(1000, LOAD);
    const calls = ["palermo-1", "palermo-2", "palermo-3"]
      .map((id, index) => load.server(id).startedCalls - (before[index] ?? 0));
    expect(calls.slice(0, 2)).toEqual([0, 0]);
    expect((calls[2] ?? 0) > 0).toEqual(true);
    await expectAllAnswered(fixture);
  });

  it("lists the local data centre first, and none that is out of service", async () => {
    const vms = { "vm-1": "palermo", "vm-2": "catania" };
    const servers = { palermo: 1, catania: 1 };
    const { cluster } = await makeFixture({ vms, servers });
    const { permits } = cluster.node("vm-2");
    const [service] = cluster.configuration.register.services;
    if (service === undefined) throw new Error("No service configured");
    function candidates(): string[] {
      if (service === undefined) return [];
      return permits.candidatePools(service.name, cluster.nowMs)
        .map((pool) => pool.dataCentre);
    }
    expect(candidates()).toEqual(["catania", "palermo"]);
    cluster.adopt(makeConfiguration({
      servers,
      dataCentresOut: ["catania"],
      generation: 2,
    }));
    expect(candidates()).toEqual(["palermo"]);
  });

  it("grants spill only free slots in another data centre", async () => {
    const vms = { "vm-1": "palermo", "vm-2": "catania" };
    const servers = { palermo: 1, catania: 1 };
    const fixture = await makeColdFixture({ vms, servers });
    const { cluster } = fixture;
    const load = new ClusterLoad(cluster, 400);
    const localNode = cluster.node("vm-1");
    const [service] = cluster.configuration.register.services;
    if (service === undefined) throw new Error("No service configured");
    load.call(localNode);
    load.call(localNode);
    await cluster.advance(100);
    const [first] = localNode.permits.candidatePools(
      service.name,
      cluster.nowMs,
    );
    expect(first?.dataCentre as string).toEqual("catania");
    load.call(localNode, { dataCentre: "catania" });
    await cluster.advance(100);
    expect(load.counts.granted).toEqual(2);
    load.call(localNode, { dataCentre: "catania" });
    await cluster.advance(100);
    expect(load.counts.refused).toEqual(1);
    await expectAllAnswered({ cluster, load });
  });

  it("lets the side with the lowest VM id own the pool after an even split", async () => {
    const { cluster } = await makeColdFixture({
      vms: { "vm-1": "palermo", "vm-2": "palermo" },
    });
    cluster.isolate(cluster.node("vm-1"));
    await cluster.advance(SETTLE_MS);
    expect(coldGrantingOwners(cluster)).toEqual([cluster.node("vm-1")]);
  });

  it("hands over the pool within a second when its owner leaves", async () => {
    const fixture = await makeColdFixture();
    const { cluster, load } = fixture;
    await load.run(500, LOAD);
    const leaving = ownerOf(cluster);
    cluster.leave(leaving);
    await load.run(1000, LOAD);
    expect(coldGrantingOwners(cluster).length).toEqual(1);
    expect(coldGrantingOwners(cluster).includes(leaving)).toEqual(false);
    await expectAllAnswered(fixture);
  });

  it("withholds cold grants while a frozen member may hold a permit", async () => {
    const fixture = await makeColdFixture({ servers: { palermo: 1 } });
    const { cluster } = fixture;
    const load = new ClusterLoad(cluster, 700);
    const former = ownerOf(cluster);
    const permitClient = nonCandidateOf(former, cluster);
    load.call(permitClient);
    while (load.server("palermo-1").inFlight === 0) await cluster.advance(5);
    permitClient.isFrozen = true;
    cluster.leave(former);
    await load.run(1000, LOAD);
    permitClient.isFrozen = false;
    await load.run(1000, LOAD);
    await expectAllAnswered({ cluster, load });
  });

  it("doesn't accept a former owner's grant after answering the new owner", async () => {
    const fixture = await makeColdFixture({ servers: { palermo: 1 } });
    const { cluster } = fixture;
    const load = new ClusterLoad(cluster, 300);
    const former = ownerOf(cluster);
    const permitClient = nonCandidateOf(former, cluster);
    load.call(permitClient);
    // The owner has received the permit request; the cut link delays its grant.
    await cluster.advance(5);
    cluster.cutLink(former, permitClient);
    cluster.leave(former);
    let calls = 0;
    for (; calls < 35; calls++) {
      for (const node of cluster.nodes) {
        if (node !== permitClient) load.call(node);
      }
      await cluster.advance(20);
    }
    expect(load.server("palermo-1").startedCalls >= 1).toEqual(true);
    cluster.heal();
    await load.run(1000, LOAD);
    await expectAllAnswered({ cluster, load });
  });

  it("still grants permits while the last daemon is leaving", async () => {
    const fixture = await makeFixture({ vms: { "vm-1": "palermo" } });
    const { cluster, load } = fixture;
    cluster.leave(cluster.node("vm-1"));
    await load.run(1000, LOAD);
    expect(load.counts.granted > 0).toEqual(true);
    await expectAllAnswered(fixture);
  });
});
