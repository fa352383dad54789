import { expect } from "earl";
import { describe, it } from "node:test";
import { ClusterLoad } from "./test_support/cluster_load.js";
import { InMemoryCluster } from "./test_support/in_memory_cluster.js";
import {
  makeConfiguration,
  type TestLayout,
} from "./test_support/test_configuration.js";

const THREE_VMS = { "vm-1": "palermo", "vm-2": "palermo", "vm-3": "palermo" };
/** A lease, the voters' start-up wait and the longest permit. */
const SETTLED_MS = 4000;

interface Scene {
  readonly cluster: InMemoryCluster;
  readonly load: ClusterLoad;
}

function makeScene(layout: Partial<TestLayout> = {}): Scene {
  const configuration = makeConfiguration({
    servers: { palermo: 2 },
    ...layout,
  });
  const cluster = new InMemoryCluster({ vms: THREE_VMS, configuration });
  return { cluster, load: new ClusterLoad(cluster) };
}

describe("SharedPermitSource", () => {
  it("warms servers up without passing the cold limit", async () => {
    const { cluster, load } = makeScene();
    await cluster.advance(SETTLED_MS);
    await load.run(3000, { everyMs: 20 });
    await cluster.advance(3000);
    expect(load.overLimitCalls).toEqual(0);
    expect(load.server("palermo-1").isCold).toEqual(false);
    expect(load.server("palermo-2").isCold).toEqual(false);
    expect(load.tally.granted + load.tally.refused).toEqual(load.tally.asked);
    expect(load.tally.completed).toEqual(load.tally.granted);
  });
});
