import type { ListedVm } from "@sassafrasstage/protocol/platform_objects";
import {
  type Cluster,
  startCluster,
} from "@sassafrasstage/stand-ins/cluster/cluster";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { LoadGenerator } from "./support/load_generator.js";
import { isAnswered } from "./support/request_log.js";
import { makeSamplePlan } from "./support/sample_plan.js";
import {
  findArrivalsAfter,
  findBrokenConnections,
  findViolations,
  readRecords,
  type ServerRecord,
} from "./support/find_violations.js";

/** Design target: no new work 3 s after being taken out of service. */
const STOP_WITHIN_MS = 3000;
const OBSERVATION_MS = 3000;
/**
 * Time until the servers are known to be warm. A new owner grants no permits for
 * cold servers while a frozen VM may hold permits for them.
 */
const WARM_UP_MS = 4000;

describe("Taking out of service", () => {
  let cluster: Cluster;

  beforeEach(async () => {
    cluster = await startCluster(makeSamplePlan());
  });

  afterEach(async () => {
    await cluster.stop();
  });

  it("stops new work at a data centre while one daemon is frozen and one restarts", async () => {
    const records = await checkNoNewWork(cluster, async () => {
      cluster.daemon("vm-palermo-2").suspend();
      const answer = await cluster.daemon("vm-catania-1").admin(
        "/admin/v1/data-centres/palermo/out",
        { method: "POST", body: {} },
      );
      expect(answer.status).toEqual(200);
      const outAtMs = Date.now();
      const restarted = cluster.daemon("vm-catania-2");
      await restarted.kill();
      await restarted.start();
      await restarted.waitUntilReady(10_000);
      await sleepUntil(outAtMs + STOP_WITHIN_MS + 500);
      cluster.daemon("vm-palermo-2").resume();
      return outAtMs;
    }, isInPalermo);
    expect(records.some((record) => record.dataCentre === "catania"))
      .toEqual(true);
  });

  it("stops new work at a backend server that the rules exclude", async () => {
    await checkNoNewWork(cluster, async () => {
      const answer = await cluster.daemon("vm-palermo-1").admin(
        "/admin/v1/backend-servers/encoder-palermo-1/out",
        { method: "POST", body: {} },
      );
      expect(answer.status).toEqual(200);
      return Date.now();
    }, (record) => record.id === "encoder-palermo-1");
  });

  it("stops new work at a backend server whose VM is listed as leaving", async () => {
    await checkNoNewWork(cluster, async () => {
      await cluster.platform.setVms(
        cluster.vms.map((vm) => markLeaving(vm, "vm-encoder-palermo-1")),
      );
      return Date.now();
    }, (record) => record.id === "encoder-palermo-1");
  });

  it("can be reverted: a data centre that has returned to service gets work again", async () => {
    const daemon = cluster.daemon("vm-palermo-1");
    for (const direction of ["out", "in"]) {
      const path = `/admin/v1/data-centres/palermo/${direction}`;
      await daemon.admin(path, { method: "POST", body: {} });
    }
    const backAtMs = Date.now();
    const load = new LoadGenerator(cluster, {
      seed: 43,
      requestsPerSecond: 40,
      pipelines: ["lookup"],
    });
    load.start();
    await sleep(STOP_WITHIN_MS);
    await load.stop();
    const records = (await readRecords(cluster)).filter(isInPalermo);
    const arrivals = records.filter((record) =>
      record.lastArrivalAtMs > backAtMs
    );
    expect(arrivals.length).toBeGreaterThan(0);
  });
});

/**
 * Checks that servers get no new work once they are out of service.
 * `takeOutOfService` resolves with the wall-clock time of the acceptance.
 */
async function checkNoNewWork(
  cluster: Cluster,
  takeOutOfService: () => Promise<number>,
  isOut: (record: ServerRecord) => boolean,
): Promise<ServerRecord[]> {
  const load = new LoadGenerator(cluster, {
    seed: 41,
    requestsPerSecond: 60,
    pipelines: ["lookup", "draft", "issue"],
  });
  load.start();
  await sleep(WARM_UP_MS);
  const outAtMs = await takeOutOfService();
  await sleepUntil(outAtMs + STOP_WITHIN_MS + OBSERVATION_MS);
  const requests = await load.stop();
  const records = await readRecords(cluster);
  const outServers = records.filter(isOut);
  // The test is only meaningful if these servers had work before.
  expect(outServers.some((record) => record.runs > 0)).toEqual(true);
  expect(findArrivalsAfter(outServers, outAtMs + STOP_WITHIN_MS)).toEqual([]);
  expect(findViolations(requests, records)).toEqual([]);
  const unexplained = findBrokenConnections(requests).filter((violation) =>
    !violation.endsWith("vm-catania-2")
  );
  expect(unexplained).toEqual([]);
  const served = requests.filter((request) =>
    isAnswered(request) && request.sentAtMs > outAtMs + STOP_WITHIN_MS
  );
  expect(served.length).toBeGreaterThan(0);
  return records;
}

function isInPalermo(record: ServerRecord): boolean {
  return record.dataCentre === "palermo";
}

function markLeaving(vm: ListedVm, vmId: string): ListedVm {
  return vm.vmId === vmId ? { ...vm, state: "leaving" } : vm;
}

async function sleepUntil(wallClockMs: number): Promise<void> {
  await sleep(Math.max(0, wallClockMs - Date.now()));
}
