import {
  type Cluster,
  startCluster,
} from "@sassafrasstage/stand-ins/cluster/cluster";
import { expect } from "earl";
import { after, afterEach, before, describe, it } from "node:test";
import {
  acceptedGeneration,
  CLUSTER_PLAN,
  daemonAt,
  findLateDaemons,
  post,
  readGeneration,
  waitUntilPlatformIsReachable,
  withPipelineDeadline,
} from "./configuration_cluster.js";

describe("an accepted configuration during network partitions", () => {
  let cluster: Cluster;
  let deadlineMs = 1000;

  before(async () => {
    cluster = await startCluster(CLUSTER_PLAN);
  });

  afterEach(async () => {
    cluster.heal();
    await waitUntilPlatformIsReachable(cluster);
  });

  after(async () => {
    await cluster.stop();
  });

  /** Submits a changed configuration through a daemon. */
  function apply(index: number) {
    deadlineMs += 1;
    const configuration = withPipelineDeadline(
      cluster.configuration,
      deadlineMs,
    );
    return post(daemonAt(cluster, index), "configuration", configuration);
  }

  it("reaches a data centre that is disconnected from the platform", async () => {
    cluster.cutFromPlatform("palermo");
    for (let change = 0; change < 3; change += 1) {
      const generation = acceptedGeneration(await apply(3 + change));
      expect(await findLateDaemons(cluster.daemons, generation)).toEqual([]);
    }
  });

  it("reaches data centres that are disconnected from each other", async () => {
    cluster.cutDataCentres("palermo", "catania");
    for (let change = 0; change < 3; change += 1) {
      const generation = acceptedGeneration(await apply(change));
      expect(await findLateDaemons(cluster.daemons, generation)).toEqual([]);
    }
  });

  it("reaches an isolated data centre once its connections are restored", async () => {
    cluster.cutDataCentres("palermo", "catania");
    cluster.cutFromPlatform("palermo");
    const generation = acceptedGeneration(await apply(3));
    const [connected, isolated] = [daemonAt(cluster, 3), daemonAt(cluster, 0)];
    expect(await findLateDaemons([connected], generation)).toEqual([]);
    expect(await readGeneration(isolated)).toEqual(generation - 1);
    cluster.heal();
    expect(await findLateDaemons(cluster.daemons, generation)).toEqual([]);
  });
});
