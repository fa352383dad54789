import {
  type Cluster,
  startCluster,
} from "@sassafrasstage/stand-ins/cluster/cluster";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { GenerationWatch } from "./support/generation_watch.js";
import { LoadGenerator } from "./support/load_generator.js";
import {
  isAnswered,
  type LoggedRequest,
  summarize,
} from "./support/request_log.js";
import { makeSamplePlan } from "./support/sample_plan.js";
import {
  findBrokenConnections,
  findViolations,
  readRecords,
} from "./support/find_violations.js";

const FAULT_DURATION_MS = 4000;
const RECOVERY_DURATION_MS = 4000;
/** Time within which a data centre has to detect a connectivity change. */
const DETECTION_MS = 2000;
/**
 * Design target: share of requests answered within their deadline under faults,
 * as long as the capacity suffices.
 */
const MIN_ANSWERED_RATIO = 0.99;

describe("Every data centre", () => {
  let cluster: Cluster;
  let watch: GenerationWatch;

  beforeEach(async () => {
    cluster = await startCluster(makeSamplePlan());
    watch = new GenerationWatch(cluster);
    watch.start();
  });

  afterEach(async () => {
    await watch.stop();
    await cluster.stop();
  });

  it("keeps serving during a partition between data centres, and recovers without intervention", async () => {
    await checkService(cluster, () => {
      cluster.cutDataCentres("palermo", "catania");
    });
    expect(await watch.stop()).toEqual([]);
  });

  it("keeps serving while one is disconnected from the platform, and recovers without intervention", async () => {
    await checkService(cluster, () => {
      cluster.cutFromPlatform("palermo");
    });
    expect(await watch.stop()).toEqual([]);
  });

  it("keeps serving while all of them are isolated, and recovers without intervention", async () => {
    await checkService(cluster, () => {
      cluster.cutDataCentres("palermo", "catania");
      cluster.cutFromPlatform("palermo");
      cluster.cutFromPlatform("catania");
    });
    expect(await watch.stop()).toEqual([]);
  });

  it("keeps serving requests without a claim while the platform is slow or down", async () => {
    await checkService(cluster, async () => {
      await cluster.platform.setFaults({ slowMs: 3000 });
      await sleep(1000);
      await cluster.platform.setFaults({ slowMs: 0, isDown: true });
    });
    expect(await watch.stop()).toEqual([]);
  });
});

async function checkService(
  cluster: Cluster,
  injectFault: () => void | Promise<void>,
): Promise<void> {
  const load = new LoadGenerator(cluster, {
    seed: 51,
    requestsPerSecond: 50,
    pipelines: ["lookup", "draft", "issue"],
    streamRatio: 0.3,
  });
  load.start();
  await sleep(2500);
  const faultAtMs = Date.now();
  await injectFault();
  await sleep(FAULT_DURATION_MS);
  const clearedAtMs = Date.now();
  cluster.heal();
  await cluster.platform.setFaults({ isDown: false });
  await sleep(RECOVERY_DURATION_MS);
  const requests = await load.stop();
  const records = await readRecords(cluster);
  expect(findViolations(requests, records)).toEqual([]);
  expect(findBrokenConnections(requests)).toEqual([]);
  expectServed(
    requests,
    (request) => isBetween(request, faultAtMs + DETECTION_MS, clearedAtMs),
  );
  expectServed(
    requests,
    (request) => isBetween(request, clearedAtMs + DETECTION_MS, Infinity),
  );
}

function expectServed(
  requests: readonly LoggedRequest[],
  isSelected: (request: LoggedRequest) => boolean,
): void {
  const selected = requests.filter(isSelected);
  const answered = selected.filter(isAnswered).length;
  expect(selected.length).toBeGreaterThan(0);
  if (answered >= selected.length * MIN_ANSWERED_RATIO) return;
  throw new Error(
    `Outcomes of ${selected.length} requests: ${summarize(selected)}`,
  );
}

function isBetween(
  request: LoggedRequest,
  fromMs: number,
  toMs: number,
): boolean {
  return request.sentAtMs >= fromMs && request.sentAtMs < toMs;
}
