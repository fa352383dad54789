import {
  type Cluster,
  startCluster,
} from "@sassafrasstage/stand-ins/cluster/cluster";
import { expect } from "earl";
import { after, afterEach, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  acceptedGeneration,
  CLUSTER_PLAN,
  daemonAt,
  findLateDaemons,
  post,
  readAdoptedGenerations,
  readGeneration,
  readPipelineDeadline,
  waitUntilPlatformIsReachable,
  withPipelineDeadline,
} from "./configuration_cluster.js";

const CHANGES = 10;
/** Longer than every timeout between daemons. */
const FROZEN_MS = 2500;

describe("an accepted configuration", () => {
  let cluster: Cluster;
  let deadlineMs = 1000;

  before(async () => {
    cluster = await startCluster({ ...CLUSTER_PLAN, isProxied: false });
  });

  afterEach(async () => {
    await cluster.platform.setFaults({ isDown: false, lostAnswers: 0 });
    await cluster.startDaemons();
    await cluster.waitUntilReady();
    await waitUntilPlatformIsReachable(cluster);
  });

  after(async () => {
    await cluster.stop();
  });

  /** Submits a changed configuration through a daemon. */
  function apply(index: number, fields: object = {}) {
    deadlineMs += 1;
    return post(daemonAt(cluster, index), "configuration", {
      ...withPipelineDeadline(cluster.configuration, deadlineMs),
      ...fields,
    });
  }

  it("is in force at every daemon within the target time", async () => {
    for (let change = 0; change < CHANGES; change += 1) {
      const generation = acceptedGeneration(await apply(change % 6));
      expect(await findLateDaemons(cluster.daemons, generation)).toEqual([]);
      for (const daemon of cluster.daemons) {
        expect(await readPipelineDeadline(daemon)).toEqual(deadlineMs);
      }
    }
  });

  it("is fetched from peers by a VM that starts during an outage", async () => {
    const generation = await readGeneration(daemonAt(cluster, 0));
    for (const index of [2, 5]) await daemonAt(cluster, index).kill();
    await cluster.platform.setFaults({ isDown: true });
    await daemonAt(cluster, 2).start();
    await daemonAt(cluster, 5).start();
    expect(await findLateDaemons(cluster.daemons, generation)).toEqual([]);
    expect(await readPipelineDeadline(daemonAt(cluster, 2))).toEqual(
      deadlineMs,
    );
  });

  it("stays in force while the platform is down and changes are refused", async () => {
    const generation = await readGeneration(daemonAt(cluster, 0));
    const deadlineBeforeMs = deadlineMs;
    await cluster.platform.setFaults({ isDown: true });
    const answer = await apply(0);
    expect(answer.status).toEqual(503);
    expect(answer.body as object).toLooseEqual(
      expect.subset({ reason: "platformUnavailable", notRun: true }),
    );
    for (const daemon of cluster.daemons) {
      expect(await readGeneration(daemon)).toEqual(generation);
      expect(await readPipelineDeadline(daemon)).toEqual(deadlineBeforeMs);
    }
    deadlineMs = deadlineBeforeMs;
  });

  it("is accepted exactly once when responses of the platform are lost", async () => {
    const generation = await readGeneration(daemonAt(cluster, 0));
    // Drops the responses to two writes: the part that changed, and the head.
    await cluster.platform.setFaults({ lostAnswers: 2 });
    expect(acceptedGeneration(await apply(1))).toEqual(generation + 1);
    const record = await cluster.platform.record();
    expect(record.answersLost).toEqual(2);
    expect(await findLateDaemons(cluster.daemons, generation + 1)).toEqual([]);
    const repeatedChange = { changeId: "same-change" };
    expect(acceptedGeneration(await apply(2, repeatedChange))).toEqual(
      generation + 2,
    );
    expect(acceptedGeneration(await apply(4, repeatedChange))).toEqual(
      generation + 2,
    );
    deadlineMs -= 1;
  });

  it("is exactly one of several concurrent changes", async () => {
    const basedOnGeneration = await readGeneration(daemonAt(cluster, 0));
    const initialDeadlineMs = deadlineMs;
    const answers = await Promise.all(
      [0, 1, 2, 3, 4, 5].map((index) => apply(index, { basedOnGeneration })),
    );
    const accepted = answers.filter((answer) => answer.status === 200);
    expect(accepted.length).toEqual(1);
    const winner = answers.findIndex((answer) => answer.status === 200);
    deadlineMs = initialDeadlineMs + 1 + winner;
    for (const answer of answers) {
      if (answer.status === 200) continue;
      expect(answer.status).toEqual(409);
      const { newer } = answer.body as { newer: { generation: number } };
      expect(newer.generation).toEqual(basedOnGeneration + 1);
    }
    const generation = basedOnGeneration + 1;
    expect(await findLateDaemons(cluster.daemons, generation)).toEqual([]);
    for (const daemon of cluster.daemons) {
      expect(await readPipelineDeadline(daemon)).toEqual(deadlineMs);
    }
  });

  it("contains everything that operators concurrently took out of service", async () => {
    const answers = await Promise.all([
      post(daemonAt(cluster, 0), "data-centres/catania/out"),
      post(daemonAt(cluster, 2), "backend-servers/registry-palermo-1/out"),
      post(daemonAt(cluster, 4), "backend-servers/registry-catania-1/out"),
    ]);
    const generation = Math.max(...answers.map(acceptedGeneration));
    expect(await findLateDaemons(cluster.daemons, generation)).toEqual([]);
    for (const daemon of cluster.daemons) {
      const answer = await daemon.admin("/admin/v1/configuration");
      const { rules } = answer.body as typeof cluster.configuration;
      expect(rules.dataCentresOut).toEqual(["catania"]);
      expect([...rules.backendServersOut].sort()).toEqual([
        "registry-catania-1",
        "registry-palermo-1",
      ]);
    }
  });

  it("stays in force when a change is refused with the path of an invalid reference", async () => {
    const generation = await readGeneration(daemonAt(cluster, 0));
    const { register, rules } = cluster.configuration;
    const answer = await post(daemonAt(cluster, 5), "configuration", {
      register: { ...register, services: [] },
      rules,
    });
    expect(answer.status).toEqual(422);
    const absent = await post(daemonAt(cluster, 5), "configuration", {
      register,
      rules: { ...rules, dataCentresOut: ["rome"] },
    });
    const { faults } = absent.body as { faults: { path: string }[] };
    expect(faults.map((fault) => fault.path)).toEqual([
      "rules.dataCentresOut.0",
    ]);
    for (const daemon of cluster.daemons) {
      expect(await readGeneration(daemon)).toEqual(generation);
    }
  });

  it("is never replaced by an earlier generation at any VM, including one that was frozen", async () => {
    const [frozen, other] = [daemonAt(cluster, 1), daemonAt(cluster, 4)];
    frozen.suspend();
    let generation = 0;
    try {
      for (let change = 0; change < 4; change += 1) {
        generation = acceptedGeneration(await apply(4));
      }
      const running = cluster.daemons.filter((daemon) => daemon !== frozen);
      expect(await findLateDaemons(running, generation)).toEqual([]);
      await sleep(FROZEN_MS);
    } finally {
      frozen.resume();
    }
    expect(await findLateDaemons(cluster.daemons, generation)).toEqual([]);
    expect(await readPipelineDeadline(frozen)).toEqual(
      await readPipelineDeadline(other),
    );
    for (const daemon of cluster.daemons) {
      for (const generations of readAdoptedGenerations(daemon)) {
        const ascending = [...new Set(generations)].sort((a, b) => a - b);
        expect(generations.length).toBeGreaterThan(0);
        expect(generations).toEqual(ascending);
      }
    }
  });
});
