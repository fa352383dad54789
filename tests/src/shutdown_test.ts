import {
  type Cluster,
  startCluster,
} from "@sassafrasstage/stand-ins/cluster/cluster";
import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { LoadGenerator, sendRequest } from "./support/load_generator.js";
import { isAnswered, summarize } from "./support/request_log.js";
import { makeSamplePlan, STORY_TOKENS } from "./support/sample_plan.js";
import {
  findBrokenConnections,
  findViolations,
  readRecords,
} from "./support/find_violations.js";

describe("Graceful shutdown", () => {
  let cluster: Cluster;

  before(async () => {
    cluster = await startCluster(makeSamplePlan());
  });

  after(async () => {
    await cluster.stop();
  });

  it("completes long streams and exits with code 0", async () => {
    const daemon = cluster.daemon("vm-palermo-1");
    const stories = Array.from(
      { length: 10 },
      (_, index) =>
        sendRequest(cluster, {
          marker: `<<story-${index}>>`,
          pipeline: "story",
          vmId: daemon.vmId,
          isStreamed: true,
        }),
    );
    await sleep(200);
    const status = await daemon.terminate();
    const requests = await Promise.all(stories);
    expect(status).toEqual({ code: 0, signal: null });
    expect(findViolations(requests, await readRecords(cluster))).toEqual([]);
    const tokens = requests.map(({ result }) =>
      result.kind === "answer" ? result.tokens.length : summarize(requests)
    );
    expect(tokens).toEqual(requests.map(() => STORY_TOKENS));
    await daemon.start();
    await daemon.waitUntilReady(10_000);
  });

  it("loses no request in a rolling restart under load", async () => {
    const load = new LoadGenerator(cluster, {
      seed: 21,
      requestsPerSecond: 40,
      pipelines: ["lookup", "draft", "issue"],
      streamRatio: 0.5,
    });
    load.start();
    for (const daemon of cluster.daemons) {
      const status = await daemon.terminate();
      expect(status).toEqual({ code: 0, signal: null });
      await daemon.start();
      await daemon.waitUntilReady(10_000);
    }
    const requests = await load.stop();
    const records = await readRecords(cluster);
    expect(findBrokenConnections(requests)).toEqual([]);
    expect(findViolations(requests, records)).toEqual([]);
    const refused = requests.filter((request) =>
      request.result.kind === "problem"
    );
    // A load balancer retries a refused connection at another VM, but not a
    // refused request.
    expect(summarize(refused)).toEqual("");
    expect(requests.filter(isAnswered).length).toBeGreaterThan(0);
  });
});
