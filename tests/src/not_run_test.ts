import {
  type Cluster,
  startCluster,
} from "@sassafrasstage/stand-ins/cluster/cluster";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { LoadGenerator } from "./support/load_generator.js";
import type { LoggedRequest } from "./support/request_log.js";
import { makeSamplePlan } from "./support/sample_plan.js";
import { findViolations, readRecords } from "./support/find_violations.js";

describe("A refusal as not run", () => {
  let cluster: Cluster;

  beforeEach(async () => {
    cluster = await startCluster(makeSamplePlan());
  });

  afterEach(async () => {
    await cluster.stop();
  });

  it("is true while the servers of a service fail, reset, refuse and freeze", async () => {
    const load = new LoadGenerator(cluster, {
      seed: 61,
      requestsPerSecond: 80,
      pipelines: ["issue"],
      idempotencyKeyRatio: 0.3,
    });
    load.start();
    await sleep(1500);
    for (const server of cluster.serversOf("registry", "palermo")) {
      await server.setFaults({ failRatio: 0.3, breakRatio: 0.2 });
    }
    await sleep(1000);
    const [first, second] = cluster.serversOf("registry", "catania");
    await first?.setFaults({ isDown: true });
    await second?.setFaults({ isRefusing: true });
    await sleep(1000);
    cluster.network.setLink("vm-palermo-1", {
      target: "registry-palermo-1",
      mode: { kind: "resetAfter", bytes: 300 },
    });
    await first?.setFaults({ isDown: false, isFrozen: true });
    await sleep(1000);
    await first?.setFaults({ isFrozen: false });
    // No server accepts connections: these requests must be refused as not run.
    const servers = cluster.serversOf("registry");
    for (const server of servers) await server.setFaults({ isDown: true });
    await sleep(1500);
    for (const server of servers) await server.setFaults({ isDown: false });
    const requests = await load.stop();
    expect(findViolations(requests, await readRecords(cluster))).toEqual([]);
    // The test is only meaningful if both kinds of refusal occurred.
    expect(requests.some((request) => isRefusal(request, true))).toEqual(true);
    expect(requests.some((request) => isRefusal(request, false))).toEqual(true);
  });

  it("is true when the daemon is killed or frozen under load", async () => {
    const load = new LoadGenerator(cluster, {
      seed: 62,
      requestsPerSecond: 80,
      pipelines: ["issue"],
      idempotencyKeyRatio: 0.3,
    });
    load.start();
    await sleep(1500);
    await cluster.daemon("vm-palermo-1").kill();
    cluster.daemon("vm-catania-1").suspend();
    await sleep(2500);
    cluster.daemon("vm-catania-1").resume();
    await sleep(1000);
    const requests = await load.stop();
    expect(findViolations(requests, await readRecords(cluster))).toEqual([]);
  });
});

function isRefusal(request: LoggedRequest, notRun: boolean): boolean {
  const { result } = request;
  return result.kind === "problem" && result.problem.notRun === notRun;
}
