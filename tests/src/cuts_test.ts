import {
  type Cluster,
  startCluster,
} from "@sassafrasstage/stand-ins/cluster/cluster";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { GenerationWatch } from "./support/generation_watch.js";
import { Load } from "./support/load.js";
import {
  isAnswered,
  type LoggedRequest,
  summarize,
} from "./support/request_log.js";
import { makeSamplePlan } from "./support/sample_plan.js";
import { findLost, findViolations, readRecords } from "./support/verdicts.js";

const CUT_FOR_MS = 4000;
const HEALED_FOR_MS = 4000;
/** Time in which a data centre may find out that it is alone. */
const SETTLE_MS = 2000;
/** DESIGN: within deadline while capacity suffices under faults. */
const MIN_ANSWERED_RATIO = 0.99;

describe("Cuts", () => {
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

  it("between data centres leave each serving, and heal without help", async () => {
    await judge(cluster, () => {
      cluster.cutDataCentres("palermo", "catania");
    });
    expect(await watch.stop()).toEqual([]);
  });

  it("from the platform leave a data centre serving, and heal without help", async () => {
    await judge(cluster, () => {
      cluster.cutFromPlatform("palermo");
    });
    expect(await watch.stop()).toEqual([]);
  });

  it("from both leave every data centre serving, and heal without help", async () => {
    await judge(cluster, () => {
      cluster.cutDataCentres("palermo", "catania");
      cluster.cutFromPlatform("palermo");
      cluster.cutFromPlatform("catania");
    });
    expect(await watch.stop()).toEqual([]);
  });

  it("of a platform that is down or slow touch no request without a claim", async () => {
    await judge(cluster, async () => {
      await cluster.platform.setFaults({ slowMs: 3000 });
      await sleep(1000);
      await cluster.platform.setFaults({ slowMs: 0, isDown: true });
    });
    expect(await watch.stop()).toEqual([]);
  });
});

async function judge(
  cluster: Cluster,
  cut: () => void | Promise<void>,
): Promise<void> {
  const load = new Load(cluster, {
    seed: 51,
    requestsPerSecond: 50,
    pipelines: ["lookup", "draft", "issue"],
    streamRatio: 0.3,
  });
  load.start();
  await sleep(2500);
  const cutAtMs = Date.now();
  await cut();
  await sleep(CUT_FOR_MS);
  const healedAtMs = Date.now();
  cluster.heal();
  await cluster.platform.setFaults({ isDown: false });
  await sleep(HEALED_FOR_MS);
  const requests = await load.stop();
  const records = await readRecords(cluster);
  expect(findViolations(requests, records)).toEqual([]);
  expect(findLost(requests)).toEqual([]);
  expectServed(
    requests,
    (one) => isBetween(one, cutAtMs + SETTLE_MS, healedAtMs),
  );
  expectServed(
    requests,
    (one) => isBetween(one, healedAtMs + SETTLE_MS, Infinity),
  );
}

function expectServed(
  requests: readonly LoggedRequest[],
  isMeant: (request: LoggedRequest) => boolean,
): void {
  const meant = requests.filter(isMeant);
  const answered = meant.filter(isAnswered).length;
  expect(meant.length).toBeGreaterThan(0);
  if (answered >= meant.length * MIN_ANSWERED_RATIO) return;
  throw new Error(`Of ${meant.length}: ${summarize(meant)}`);
}

function isBetween(
  request: LoggedRequest,
  fromMs: number,
  toMs: number,
): boolean {
  return request.sentAtMs >= fromMs && request.sentAtMs < toMs;
}
