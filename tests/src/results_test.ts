import {
  type Cluster,
  startCluster,
} from "@sassafrasstage/stand-ins/cluster/cluster";
import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { LoadGenerator } from "./support/load_generator.js";
import { isAnswered, summarize } from "./support/request_log.js";
import { makeSamplePlan } from "./support/sample_plan.js";
import {
  findBrokenConnections,
  findViolations,
  readRecords,
} from "./support/find_violations.js";

describe("Results", () => {
  let cluster: Cluster;

  before(async () => {
    cluster = await startCluster(makeSamplePlan());
  });

  after(async () => {
    await cluster.stop();
  });

  it("reach the right request in full despite delays, wrong request ids and broken streams", async () => {
    for (const server of cluster.serversOf("generator")) {
      await server.setFaults({ breakRatio: 0.05, breakAfterTokens: 3 });
    }
    const [first, second] = cluster.serversOf("generator", "palermo");
    await first?.setFaults({ wrongEchoRatio: 0.3 });
    await second?.setFaults({ slowFactor: 3 });
    await cluster.serversOf("reranker", "catania")[0]?.setFaults({
      wrongEchoRatio: 0.2,
      slowFactor: 5,
    });
    const load = new LoadGenerator(cluster, {
      seed: 11,
      requestsPerSecond: 100,
      pipelines: ["lookup", "draft", "issue"],
      streamRatio: 0.5,
    });
    load.start();
    cluster.network.setLink("vm-palermo-1", {
      target: "encoder-palermo-1",
      mode: { kind: "delay", delayMs: 40 },
    });
    await sleep(5000);
    const requests = await load.stop();
    const records = await readRecords(cluster);
    expect(findViolations(requests, records)).toEqual([]);
    expect(findBrokenConnections(requests)).toEqual([]);
    const answered = requests.filter(isAnswered).length;
    // The test is only meaningful if most requests were answered.
    if (answered < requests.length / 2) throw new Error(summarize(requests));
    const runCount = records.flatMap((record) => record.entries).length;
    expect(runCount).toBeGreaterThan(requests.length);
  });
});
