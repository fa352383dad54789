import type { ServiceName } from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { describe, it } from "node:test";
import { SlidingRetryBudget } from "../placement/sliding_retry_budget.js";
import { ServerRegister } from "../register/server_register.js";
import type { BatchLimits } from "../routing/routing_configuration.js";
import {
  ENCODER,
  makeGraph,
  makeReport,
  OWNER,
  SAMPLE_LIMITS,
} from "../testing/stage_samples.js";
import { BatchScheduler } from "./batch_scheduler.js";
import type { StageCall } from "./stage_call.js";
import { SimulatedStages } from "./testing/simulated_stages.js";

const LIMITS: ReadonlyMap<ServiceName, BatchLimits> = new Map([
  [ENCODER, SAMPLE_LIMITS],
]);
/** Longer than the estimate after which a call of one item is overdue. */
const SILENCE_MS = 1000;

describe("a stage call that is overdue", () => {
  it("isn't given up when no retry is left", () => {
    const register = new ServerRegister(() => undefined);
    register.apply(makeReport("e1"), 0);
    register.apply(makeReport("e2"), 0);
    const outcomes: string[] = [];
    const scheduler = new BatchScheduler({
      register,
      rateLimits: {
        requestsPerSecond: () => undefined,
        reserve: () => true,
        useReservation: () => undefined,
      },
      limitsOf: () => SAMPLE_LIMITS,
      retryBudgetOf: () =>
        new SlidingRetryBudget(
          () => ({ windowMs: 10_000, ratio: 0, slack: 0 }),
          () => 1,
        ),
      onEnded: (_job, outcome) => outcomes.push(outcome.kind),
      onFreeResults: () => undefined,
    });
    scheduler.submit({ id: "1", owner: OWNER, graph: makeGraph(), nowMs: 0 });
    const calls: StageCall[] = scheduler.plan(0);
    for (let nowMs = 40; nowMs <= SILENCE_MS; nowMs += 40) {
      scheduler.tick(nowMs);
      calls.push(...scheduler.plan(nowMs));
    }
    const [call] = calls;
    expect(calls.length).toEqual(1);
    expect(outcomes).toEqual([]);
    scheduler.endCall(call?.id ?? 0, {
      kind: "answered",
      items: [{ kind: "made", reference: "e1/1" }],
    }, SILENCE_MS);
    expect(outcomes).toEqual(["completed"]);
  });

  it("keeps no server from other work while it is waited for", () => {
    const stages = new SimulatedStages({
      limits: LIMITS,
      slowdownOf: (server) => server.id === makeReport("e1").id ? 20 : 1,
      retries: 0,
    });
    stages.register.apply(makeReport("e1"), 0);
    stages.submit([{ atMs: 0, graph: makeGraph() }]);
    stages.at(100, () => {
      stages.register.apply(makeReport("e2"), 100);
    });
    const laterTimesMs = [1000, 1400, 1800];
    stages.submit(laterTimesMs.map((atMs) => ({ atMs, graph: makeGraph() })));
    stages.runUntil(6000);
    expect(stages.reports.map(({ outcome }) => outcome.kind))
      .toEqual(new Array<"completed">(4).fill("completed"));
    expect(
      stages.reports.map(({ arrivedAtMs, endedAtMs }) =>
        endedAtMs - arrivedAtMs
      ),
    ).toEqual([220, 220, 220, 4400]);
  });

  it("isn't given up when it is too late for another one", () => {
    const stages = new SimulatedStages({
      limits: LIMITS,
      slowdownOf: () => SILENCE_MS / 200,
    });
    stages.register.apply(makeReport("e1"), 0);
    // The call takes 1,100 ms; its result is of use until 1,200 ms.
    stages.submit([{ atMs: 0, graph: makeGraph({ deadlineInMs: 1300 }) }]);
    stages.runUntil(2000);
    expect(stages.reports.map(({ outcome, endedAtMs }) => [
      outcome.kind,
      endedAtMs,
    ])).toEqual([["completed", 1100]]);
  });
});
