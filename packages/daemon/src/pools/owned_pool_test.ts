import {
  type AttemptId,
  type BackendServerId,
  type PermitId,
  poolKey,
  toId,
} from "@sassafrasstage/protocol/ids";
import type {
  CallOutcome,
  PermitDecision,
} from "@sassafrasstage/protocol/permits";
import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import type { GrantRights } from "./grant_rights.js";
import { LatencyBaselines } from "./latency_baseline.js";
import { OwnedPool } from "./owned_pool.js";
import { buildPoolLayout, readVmAvailability } from "./pool_layout.js";
import {
  makeConfiguration,
  makePermitRequest,
  makeVmId,
  type TestPermitRequest,
} from "./testing/test_configuration.js";

const CLIENT_VM = makeVmId("vm-1");
const COLD_LIMIT = 2;
const SERVERS = 3;
const OTHER_SERVERS = ["palermo-2", "palermo-3"].map((id) =>
  toId<BackendServerId>(id)
);

/** An owned pool that records its decisions. */
class TestBench {
  readonly decisions = new Map<AttemptId, PermitDecision[]>();
  readonly pool: OwnedPool;
  readonly submitted = new Set<AttemptId>();
  rights: GrantRights = { mayGrantCold: true, warm: { kind: "full" } };
  #permitNumber = 0;

  constructor(options: { readonly warmAfterCompletions?: number } = {}) {
    const layout = buildPoolLayout(makeConfiguration({
      servers: { palermo: SERVERS },
      warmLimit: 4,
      coldLimit: COLD_LIMIT,
      warmAfterCompletions: options.warmAfterCompletions ?? 3,
    }));
    const entry = layout.pools.get(poolKey(makePermitRequest().pool));
    if (entry === undefined) throw new Error("No such pool in the layout");
    this.pool = new OwnedPool({
      entry,
      queueOrder: "slack",
      hasPrefixAffinity: false,
      maxQueueLength: 20,
      maxQueueAgeMs: 30_000,
      withheldForMs: () => 1000,
      baselines: new LatencyBaselines(),
      nextPermitId: () => {
        this.#permitNumber += 1;
        return toId<PermitId>(`permit-${this.#permitNumber}`);
      },
      rightsAt: () => this.rights,
      decide: (_, attemptId, decision) => {
        const known = this.decisions.get(attemptId) ?? [];
        this.decisions.set(attemptId, [...known, decision]);
      },
      isGone: () => false,
      onCooled: () => undefined,
      onStateChanged: () => undefined,
      onEvent: () => undefined,
    });
    const vms = readVmAvailability(undefined);
    this.pool.configure(entry, { layout, vms, nowMs: 0 });
  }

  submit(permitRequest: TestPermitRequest, nowMs: number): AttemptId {
    const made = makePermitRequest(permitRequest);
    this.submitted.add(made.attemptId);
    this.pool.submit({
      from: CLIENT_VM,
      permitRequest: made,
      share: 1,
    }, nowMs);
    return made.attemptId;
  }

  kindOf(attemptId: AttemptId): string | undefined {
    return this.decisions.get(attemptId)?.[0]?.kind;
  }

  release(attemptId: AttemptId, outcome: CallOutcome, nowMs: number): void {
    const [decision] = this.decisions.get(attemptId) ?? [];
    if (decision?.kind !== "granted") return;
    const { permitId, backendServerId } = decision.permit;
    this.pool.release(
      { permitId, backendServerId, outcome, durationMs: 50 },
      nowMs,
    );
  }

  expectWithinLimits(): void {
    for (const server of this.pool.statuses()) {
      const isCold = server.state === "cold" || server.state === "unknown";
      const bound = isCold ? COLD_LIMIT : 4;
      expect(server.limit <= bound).toEqual(true);
    }
  }
}

const OUTCOMES: CallOutcome[] = [
  "completed",
  "notSent",
  "connectFailed",
  "refusedByServer",
  "failed",
  "timedOut",
  "canceled",
];

describe("OwnedPool", () => {
  it("decides each permit request once, within limits, and loses no permit", () => {
    const step = fc.record({
      kind: fc.constantFrom(
        "permitRequest",
        "permitRequest",
        "release",
        "cancel",
        "tick",
        "lease",
      ),
      pick: fc.nat(1000),
      outcome: fc.constantFrom(...OUTCOMES),
      waitMs: fc.nat(200),
      latestStartInMs: fc.integer({ min: 1, max: 2000 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 150 }), (steps) => {
        const bench = new TestBench();
        const canceled = new Set<AttemptId>();
        let nowMs = 0;
        for (const { kind, pick, outcome, waitMs, latestStartInMs } of steps) {
          nowMs += waitMs;
          const all = [...bench.submitted];
          const attemptId = all[pick % Math.max(1, all.length)];
          const before = inFlightByServer(bench);
          if (kind === "permitRequest") {
            bench.submit({ latestStartInMs }, nowMs);
          } else if (kind === "tick") bench.pool.tick(nowMs);
          else if (kind === "lease") {
            const mayGrantCold = !bench.rights.mayGrantCold;
            bench.rights = { ...bench.rights, mayGrantCold };
          } else if (attemptId === undefined) continue;
          else if (kind === "release") bench.release(attemptId, outcome, nowMs);
          else {
            canceled.add(attemptId);
            bench.pool.cancel(attemptId, nowMs);
          }
          bench.expectWithinLimits();
          for (const server of bench.pool.statuses()) {
            const hasRisen = server.inFlight > (before.get(server.id) ?? 0);
            if (hasRisen) expect(server.inFlight <= server.limit).toEqual(true);
          }
        }
        // Without a release, every permit ends after the maximum call overrun.
        bench.pool.tick(nowMs + 60_000);
        bench.pool.tick(nowMs + 120_000);
        for (const server of bench.pool.statuses()) {
          expect(server.inFlight).toEqual(0);
        }
        for (const attemptId of bench.submitted) {
          const count = bench.decisions.get(attemptId)?.length ?? 0;
          if (!canceled.has(attemptId)) expect(count).toEqual(1);
          expect(count <= 1).toEqual(true);
        }
      }),
      { seed: 7 },
    );
  });

  it("grants no permit at a cold server without the right to", () => {
    const bench = new TestBench();
    bench.rights = { mayGrantCold: false, warm: { kind: "full" } };
    const waiting = bench.submit({ latestStartInMs: 1500 }, 0);
    expect(bench.kindOf(waiting)).toEqual(undefined);
    bench.rights = { mayGrantCold: true, warm: { kind: "full" } };
    bench.pool.tick(20);
    expect(bench.kindOf(waiting)).toEqual("granted");
  });

  it("refuses a permit request at once if it can't start in time", () => {
    const bench = new TestBench();
    for (let index = 0; index < 3 * COLD_LIMIT + 5; index++) {
      bench.submit({ likelyDurationMs: 600, latestStartInMs: 1500 }, 0);
    }
    const unservable = bench.submit(
      { likelyDurationMs: 600, latestStartInMs: 50 },
      0,
    );
    expect(bench.kindOf(unservable)).toEqual("refused");
  });

  it("refuses when every server is excluded", () => {
    const bench = new TestBench();
    const excluded = bench.pool.statuses().map((server) => server.id);
    const refused = bench.submit({ excluded }, 0);
    expect(bench.kindOf(refused)).toEqual("refused");
    const [excludedServer] = excluded;
    if (excludedServer === undefined) throw new Error("No server in the pool");
    const granted = bench.submit({ excluded: [excludedServer] }, 0);
    const [decision] = bench.decisions.get(granted) ?? [];
    if (decision?.kind !== "granted") throw new Error("Expected a grant");
    expect(decision.permit.backendServerId === excludedServer).toEqual(false);
  });

  it("doesn't warm a server up by calls that a former owner granted", () => {
    const bench = new TestBench();
    const [server] = bench.pool.statuses();
    if (server === undefined) throw new Error("No server in the pool");
    const permits = ["a", "b", "c", "d"].map((name) => ({
      permitId: toId<PermitId>(`former-${name}`),
      attemptId: toId<AttemptId>(`attempt-${name}`),
      pool: makePermitRequest().pool,
      backendServerId: server.id,
      warmUpState: "warm" as const,
    }));
    bench.pool.addOutstandingPermits(
      CLIENT_VM,
      permits.map((permit) => ({ permit, remainingMs: 1000 })),
      100,
    );
    for (const { permitId } of permits) {
      bench.pool.release({
        permitId,
        backendServerId: server.id,
        outcome: "completed",
        durationMs: 50,
      }, 200);
    }
    const [after] = bench.pool.statuses();
    expect(after?.inFlight).toEqual(0);
    expect(after?.limit).toEqual(COLD_LIMIT);
  });

  it("doesn't clear a suspected server while no usual latency is known", () => {
    const bench = new TestBench({ warmAfterCompletions: 8 });
    function completeCalls(count: number, nowMs: number): void {
      for (let call = 0; call < count; call += 1) {
        const granted = bench.submit({ excluded: OTHER_SERVERS }, nowMs);
        bench.release(granted, "completed", nowMs);
      }
    }
    completeCalls(8 + COLD_LIMIT, 100);
    const server = toId<BackendServerId>("palermo-1");
    bench.pool.recordColdStart(server, { seenAtMs: 200, nowMs: 200 });
    completeCalls(7, 300);
    const [after] = bench.pool.statuses();
    expect(after?.limit).toEqual(COLD_LIMIT);
  });

  it("keeps counting a call at a cold server that outlasts its permit", () => {
    const bench = new TestBench();
    const granted = bench.submit({ deadlineInMs: 1000 }, 0);
    bench.pool.tick(5000);
    expect([...inFlightByServer(bench).values()].includes(1)).toEqual(true);
    bench.release(granted, "completed", 5100);
    expect([...inFlightByServer(bench).values()].includes(1)).toEqual(false);
  });
});

function inFlightByServer(bench: TestBench): Map<string, number> {
  return new Map(
    bench.pool.statuses().map((server) => [server.id, server.inFlight]),
  );
}
