import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import type { CallOutcome } from "@sassafrasstage/protocol/permits";
import {
  type CallReport,
  healthAfterCall,
  healthAfterIdleTime,
  limitOf,
  observedWarmHealth,
  type ServerHealth,
  suspectedColdState,
  unknownHealth,
} from "./backend_server_state.js";
import type { LatencyGrade } from "./latency_baseline.js";
import { makeConfiguration } from "./testing/test_configuration.js";

const WARM_LIMIT = 8;
const COLD_LIMIT = 2;
const WARM_AFTER_COMPLETIONS = 20;
const [SERVICE] = makeConfiguration({
  servers: { palermo: 1 },
  warmLimit: WARM_LIMIT,
  coldLimit: COLD_LIMIT,
  warmAfterCompletions: WARM_AFTER_COMPLETIONS,
}).register.services;
if (SERVICE === undefined) throw new Error("No service in the register");
const service = SERVICE;

interface Step extends Partial<CallReport> {
  readonly outcome: CallOutcome;
}

function apply(
  health: ServerHealth,
  step: Step,
  nowMs: number,
): ServerHealth {
  const report = { grade: "usual", grantedAtMs: nowMs, ...step } as const;
  return healthAfterCall(health, report, { service, nowMs });
}

function repeat(
  health: ServerHealth,
  step: Step,
  count: number,
): ServerHealth {
  let next = health;
  for (let index = 0; index < count; index++) next = apply(next, step, 100);
  return next;
}

function limit(health: ServerHealth, nowMs = 100): number {
  return limitOf(health.state, { service, nowMs });
}

const COMPLETED: Step = { outcome: "completed" };

function warmHealth(): ServerHealth {
  return repeat(
    unknownHealth(0),
    COMPLETED,
    WARM_AFTER_COMPLETIONS + WARM_LIMIT,
  );
}

describe("healthAfterCall", () => {
  it("keeps the cold limit until enough calls have completed", () => {
    const almostWarm = repeat(
      unknownHealth(0),
      COMPLETED,
      WARM_AFTER_COMPLETIONS - 1,
    );
    expect(limit(almostWarm)).toEqual(COLD_LIMIT);
    expect(limit(apply(almostWarm, COMPLETED, 100))).toEqual(COLD_LIMIT + 1);
    expect(warmHealth().state.kind).toEqual("warm");
    expect(limit(warmHealth())).toEqual(WARM_LIMIT);
  });

  it("ignores completions of calls granted before the cold start", () => {
    const cold = apply(warmHealth(), { outcome: "refusedByServer" }, 200);
    const late = repeat(cold, { ...COMPLETED, grantedAtMs: 150 }, 50);
    expect(limit(late)).toEqual(COLD_LIMIT);
  });

  const COLD_START_OUTCOMES: CallOutcome[] = [
    "refusedByServer",
    "connectFailed",
  ];
  for (const outcome of COLD_START_OUTCOMES) {
    it(`drops to the cold limit at once after ${outcome}`, () => {
      const cold = apply(warmHealth(), { outcome }, 200);
      expect(limit(cold)).toEqual(COLD_LIMIT);
      const almostWarm = repeat(cold, { ...COMPLETED, grantedAtMs: 200 }, 19);
      expect(limit(almostWarm)).toEqual(COLD_LIMIT);
    });
  }

  it("takes a refusal for certain although a suspicion came first", () => {
    const granted = { ...COMPLETED, grantedAtMs: 300 };
    const suspected = { ...warmHealth(), state: suspectedColdState(200) };
    const refused = apply(
      suspected,
      { outcome: "refusedByServer", grantedAtMs: 150 },
      201,
    );
    expect(limit(repeat(refused, granted, WARM_AFTER_COMPLETIONS - 1)))
      .toEqual(COLD_LIMIT);
    expect(limit(repeat(refused, granted, WARM_AFTER_COMPLETIONS)))
      .toEqual(COLD_LIMIT + 1);
  });

  it("takes a refusal for certain although the call was granted while cold", () => {
    const warming = repeat(
      unknownHealth(0),
      COMPLETED,
      WARM_AFTER_COMPLETIONS,
    );
    expect(warming.state.kind).toEqual("warming");
    const refused = apply(
      warming,
      { outcome: "refusedByServer", grantedAtMs: 50 },
      200,
    );
    expect(limit(refused)).toEqual(COLD_LIMIT);
  });

  it("keeps the cold limit if the server turned cold again while warming up", () => {
    // It needs as many completions again, however many came before.
    const slow: Step = { outcome: "completed", grade: "raised" };
    const enough = repeat(
      unknownHealth(0),
      slow,
      2 * WARM_AFTER_COMPLETIONS - 1,
    );
    expect(limit(enough)).toEqual(COLD_LIMIT);
    expect(limit(apply(enough, slow, 100))).toEqual(COLD_LIMIT + 1);
  });

  it("ends a warm-up with the first completion of usual latency", () => {
    const slow: Step = { outcome: "completed", grade: "raised" };
    const enough = repeat(unknownHealth(0), slow, WARM_AFTER_COMPLETIONS);
    expect(limit(apply(enough, COMPLETED, 100))).toEqual(COLD_LIMIT + 1);
  });

  it("suspects a cold start at the first slow completion", () => {
    const slow: Step = { outcome: "completed", grade: "coldStart" };
    const raised: Step = { outcome: "completed", grade: "raised" };
    const suspected = repeat(warmHealth(), slow, 1);
    expect(suspected.state.kind).toEqual("cold");
    expect(limit(suspected)).toEqual(COLD_LIMIT);
    expect(limit(repeat(suspected, COMPLETED, 5)) > COLD_LIMIT).toEqual(true);
    const unclear = repeat(suspected, raised, WARM_AFTER_COMPLETIONS - 1);
    expect(limit(unclear)).toEqual(COLD_LIMIT);
    const confirmed = apply(repeat(suspected, COMPLETED, 4), slow, 100);
    expect(limit(repeat(confirmed, COMPLETED, WARM_AFTER_COMPLETIONS - 1)))
      .toEqual(COLD_LIMIT);
  });

  it("opens the circuit breaker after consecutive failures and probes later", () => {
    const down = repeat(warmHealth(), { outcome: "failed" }, 3);
    expect(down.state.kind).toEqual("down");
    expect(limit(down)).toEqual(0);
    expect(limit(down, 10_000)).toEqual(1);
    expect(limit(apply(down, COMPLETED, 10_000))).toEqual(COLD_LIMIT);
  });

  it("lowers a warm server's limit while latencies are high", () => {
    const high: Step = { outcome: "completed", grade: "high" };
    const lowered = repeat(warmHealth(), high, 5 * WARM_LIMIT);
    expect(limit(lowered) < WARM_LIMIT).toEqual(true);
    expect(limit(lowered) >= COLD_LIMIT).toEqual(true);
    const raised = repeat(lowered, COMPLETED, 20 * WARM_LIMIT);
    expect(limit(raised)).toEqual(WARM_LIMIT);
  });

  it("never exceeds the registered limits", () => {
    const step = fc.record({
      outcome: fc.constantFrom<CallOutcome>(
        "completed",
        "notSent",
        "connectFailed",
        "refusedByServer",
        "failed",
        "timedOut",
        "canceled",
      ),
      grade: fc.constantFrom<LatencyGrade>("usual", "high", "coldStart"),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
        let health = unknownHealth(0);
        let completions = 0;
        for (const [index, next] of steps.entries()) {
          health = apply(health, next, index);
          if (next.outcome === "completed") completions += 1;
          expect(limit(health, index) <= WARM_LIMIT).toEqual(true);
          if (completions >= WARM_AFTER_COMPLETIONS) continue;
          expect(limit(health, index) <= COLD_LIMIT).toEqual(true);
        }
      }),
      { seed: 6 },
    );
  });
});

describe("healthAfterIdleTime", () => {
  it("marks a server as cold after a long idle time", () => {
    const context = { service, nowMs: 100 + service.coldAfterIdleMs };
    expect(healthAfterIdleTime(warmHealth(), context).state.kind).toEqual(
      "cold",
    );
  });
});

describe("observedWarmHealth", () => {
  it("starts at the number of calls in flight and rises with completions", () => {
    const health = observedWarmHealth({ inFlight: 4, seenAtMs: 0 }, {
      service,
      nowMs: 0,
    });
    expect(limit(health)).toEqual(4);
    expect(limit(apply(health, COMPLETED, 100))).toEqual(5);
  });
});
