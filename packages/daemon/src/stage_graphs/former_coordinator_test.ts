import { ServerNotices } from "../register/server_notices.js";
import { NO_NOTICE } from "../register/server_notice.js";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { MONOTONIC_CLOCK } from "../clock.js";
import { LatencyRecords } from "../observability/latency_records.js";
import { createLogger } from "../observability/logger.js";
import { Metrics } from "../observability/metrics.js";
import { rankByRendezvous } from "../peers/rendezvous.js";
import { SlidingRetryBudget } from "../placement/sliding_retry_budget.js";
import { makeRateLimits } from "../rate_limits/testing/make_rate_limits.js";
import { ServerRegister } from "../register/server_register.js";
import {
  makeGraph,
  makeReport,
  SAMPLE_LIMITS,
} from "../testing/stage_samples.js";
import { StageCoordinator } from "./stage_coordinator.js";
import { StageGraphClient } from "./stage_graph_client.js";
import { LinkedVm, setLinked } from "./testing/linked_vms.js";

const GROUP = "stages/encoder";
/** The call at the coordinator ends after the link has come back. */
const CALL_MS = 1250;
/** Longer than a graph waits for its coordinator, and shorter than the jobs do. */
const LINK_DOWN_MS = 1100;

function startVm(network: LinkedVm, hasServer: boolean): StageGraphClient {
  const register = new ServerRegister(() => undefined);
  if (hasServer) register.apply(makeReport("server-1"), 0);
  const common = {
    clock: MONOTONIC_CLOCK,
    metrics: new Metrics(),
    logger: createLogger("error", {}),
  };
  const coordinator = new StageCoordinator({
    ...common,
    latencies: new LatencyRecords(),
    register,
    serverNotices: new ServerNotices({ register, ...common }),
    rateLimits: makeRateLimits(network),
    limitsOf: () => SAMPLE_LIMITS,
    retryBudgetOf: () =>
      new SlidingRetryBudget(
        () => ({ windowMs: 10_000, ratio: 0.2, slack: 50 }),
        () => 1,
      ),
    caller: {
      runItems: async ({ items }) => {
        await sleep(CALL_MS);
        return {
          outcome: {
            kind: "answered",
            items: items.map((_, n) => ({ kind: "made", reference: `1.${n}` })),
          },
          rateLimit: { kind: "unlimited" },
          notice: NO_NOTICE,
        };
      },
      freeResults: () => Promise.resolve(NO_NOTICE),
    },
  });
  return new StageGraphClient({ ...common, network, coordinator });
}

describe("a graph whose coordinator was out of reach for a moment", () => {
  let links: readonly [LinkedVm, LinkedVm];
  let client: StageGraphClient;
  let other: StageGraphClient;

  beforeEach(() => {
    const [first = "", second = ""] = rankByRendezvous(GROUP, ["a", "b"]);
    links = [new LinkedVm(second), new LinkedVm(first)] as const;
    const [owner, coordinator] = links;
    owner.other = coordinator;
    coordinator.other = owner;
    // The owner's VM doesn't know of a server that could take the graph.
    client = startVm(owner, false);
    other = startVm(coordinator, true);
  });

  afterEach(() => {
    client.close();
    other.close();
  });

  it("isn't given up while the coordinator goes on", async () => {
    const running = client.run(makeGraph(), GROUP);
    await sleep(50);
    await setLinked(links, false);
    await sleep(LINK_DOWN_MS);
    await setLinked(links, true);
    const outcome = await running.outcome;
    expect(outcome.kind).toEqual("completed");
  });

  it("is refused once the coordinator has given it up", async () => {
    const startedAtMs = performance.now();
    const running = client.run(makeGraph(), GROUP);
    await sleep(50);
    await setLinked(links, false);
    expect((await running.outcome).kind).toEqual("refused");
    const durationMs = performance.now() - startedAtMs;
    expect(durationMs > 1500 && durationMs < 1800).toEqual(true);
  });

  it("is refused as soon as the coordinator's process has ended", async () => {
    const [owner, coordinator] = links;
    const running = client.run(makeGraph(), GROUP);
    await sleep(50);
    await setLinked(links, false);
    await sleep(LINK_DOWN_MS);
    owner.other = undefined;
    const endedAtMs = performance.now();
    await owner.lifecycle.emit("membershipChanged", owner.view());
    expect((await running.outcome).kind).toEqual("refused");
    expect(performance.now() - endedAtMs < 100).toEqual(true);
    owner.other = coordinator;
  });

  it("is released there as well when its request ends", async () => {
    const [owner] = links;
    const running = client.run(makeGraph(), GROUP);
    await sleep(50);
    await setLinked(links, false);
    await sleep(LINK_DOWN_MS);
    owner.isLinked = true;
    running.release();
    expect(owner.sent).toEqual(["stageGraphRun", "stageGraphRelease"]);
  });
});
