import { ServerNotices } from "../register/server_notices.js";
import { NO_NOTICE } from "../register/server_notice.js";
import { expect } from "earl";
import { describe, it } from "node:test";
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
  it("isn't given up while the coordinator goes on", async () => {
    const [first = "", second = ""] = rankByRendezvous(GROUP, ["a", "b"]);
    const links = [new LinkedVm(second), new LinkedVm(first)] as const;
    const [owner, coordinator] = links;
    owner.other = coordinator;
    coordinator.other = owner;
    // The owner's VM doesn't know of a server that could take the graph.
    const client = startVm(owner, false);
    const other = startVm(coordinator, true);
    const running = client.run(makeGraph(), GROUP);
    await sleep(50);
    await setLinked(links, false);
    await sleep(LINK_DOWN_MS);
    await setLinked(links, true);
    const outcome = await running.outcome;
    client.close();
    other.close();
    expect(outcome.kind).toEqual("completed");
  });
});
