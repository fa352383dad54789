import { ServerNotices } from "../register/server_notices.js";
import { NO_NOTICE } from "../register/server_notice.js";
import type { StageGraph } from "@sassafrasstage/protocol/stage_graph";
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
import { type RunningGraph, StageGraphClient } from "./stage_graph_client.js";
import { LinkedVm, setLinked } from "./testing/linked_vms.js";

const GROUP = "stages/encoder";
const CALL_MS = 150;

/** Coordinator and client of one VM, with its own simulated server. */
class TestVm {
  readonly network: LinkedVm;
  readonly client: StageGraphClient;
  callCount = 0;
  readonly #coordinator: StageCoordinator;

  constructor(name: string) {
    this.network = new LinkedVm(name);
    const register = new ServerRegister(() => undefined);
    register.apply(makeReport(`server-of-${name}`), 0);
    const budget = new SlidingRetryBudget(
      () => ({ windowMs: 10_000, ratio: 0.2, slack: 50 }),
      () => 1,
    );
    const common = {
      clock: MONOTONIC_CLOCK,
      metrics: new Metrics(),
      logger: createLogger("error", {}),
    };
    this.#coordinator = new StageCoordinator({
      ...common,
      latencies: new LatencyRecords(),
      register,
      serverNotices: new ServerNotices({ register, ...common }),
      rateLimits: makeRateLimits(this.network),
      limitsOf: () => SAMPLE_LIMITS,
      retryBudgetOf: () => budget,
      caller: {
        runItems: async ({ items }) => {
          this.callCount += 1;
          const call = this.callCount;
          await sleep(CALL_MS);
          return {
            outcome: {
              kind: "answered",
              items: items.map((_, n) => ({
                kind: "made",
                reference: `${name}/${call}.${n}`,
              })),
            },
            rateLimit: { kind: "unlimited" },
            notice: NO_NOTICE,
          };
        },
        freeResults: () => Promise.resolve(NO_NOTICE),
      },
    });
    this.client = new StageGraphClient({
      ...common,
      network: this.network,
      coordinator: this.#coordinator,
    });
  }

  run(graph: StageGraph): RunningGraph {
    return this.client.run(graph, GROUP);
  }

  close(): void {
    this.client.close();
    this.#coordinator.close();
  }
}

describe("StageGraphClient", () => {
  let owner: TestVm;
  let coordinator: TestVm;
  let links: LinkedVm[];

  beforeEach(() => {
    const [first = "", second = ""] = rankByRendezvous(GROUP, ["a", "b"]);
    coordinator = new TestVm(first);
    owner = new TestVm(second);
    owner.network.other = coordinator.network;
    coordinator.network.other = owner.network;
    links = [owner.network, coordinator.network];
  });

  afterEach(() => {
    owner.close();
    coordinator.close();
  });

  it("runs the graph on the coordinator", async () => {
    const outcome = await owner.run(makeGraph()).outcome;
    expect(outcome.kind).toEqual("completed");
    expect([owner.callCount, coordinator.callCount]).toEqual([0, 1]);
  });

  it("runs nothing twice when the link is reset during a call", async () => {
    const running = owner.run(makeGraph());
    await sleep(CALL_MS / 3);
    await setLinked(links, false);
    await setLinked(links, true);
    expect((await running.outcome).kind).toEqual("completed");
    expect([owner.callCount, coordinator.callCount]).toEqual([0, 1]);
  });

  it("receives an outcome that was lost while the link was broken", async () => {
    const running = owner.run(makeGraph());
    await sleep(CALL_MS / 3);
    await setLinked(links, false);
    await sleep(CALL_MS * 1.5);
    await setLinked(links, true);
    expect((await running.outcome).kind).toEqual("completed");
    expect([owner.callCount, coordinator.callCount]).toEqual([0, 1]);
  });

  it("waits for a broken link to recover before it runs a graph itself", async () => {
    await setLinked(links, false);
    const running = owner.run(makeGraph());
    await sleep(80);
    await setLinked(links, true);
    expect((await running.outcome).kind).toEqual("completed");
    expect([owner.callCount, coordinator.callCount]).toEqual([0, 1]);
  });

  it("keeps results in use when their outcome is reported again", async () => {
    const running = owner.run(makeGraph());
    await running.outcome;
    // After a reconnect, the coordinator may report the outcome again.
    coordinator.network.send(owner.network.self.vmId, {
      type: "stageGraphEnded",
      requestNumber: 1,
      outcome: { kind: "completed", results: [] },
    });
    await sleep(CALL_MS / 3);
    expect(owner.network.sent).toEqual(["stageGraphRun"]);
    running.release();
    expect(owner.network.sent).toEqual(["stageGraphRun", "stageGraphRelease"]);
  });

  it("runs the graph itself when the link stays broken", async () => {
    const running = owner.run(makeGraph());
    await sleep(CALL_MS / 3);
    await setLinked(links, false);
    expect((await running.outcome).kind).toEqual("completed");
    expect(owner.callCount).toEqual(1);
  });
});
