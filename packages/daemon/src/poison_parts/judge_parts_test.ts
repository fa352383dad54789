import {
  type BackendServerId,
  type SuspectId,
  toId,
} from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { judgeParts } from "./judge_parts.js";
import { KnownEvidence } from "./part_evidence.js";
import { toRequestSuspect } from "./request_suspect.js";

const NOW_MS = 100_000;
const FIRST_CRASH_MS = 50_000;
const CRASH_GAP_MS = 1000;

/** Capitals stand for whole requests. */
function idOf(name: string): SuspectId {
  return /[A-Z]/.test(name) ? toRequestSuspect(name) : toId<SuspectId>(name);
}

function idsOf(names: string): SuspectId[] {
  return names.split("").map(idOf);
}

/** @param accused The parts of each crash, as one letter each */
function addCrashes(
  evidence: KnownEvidence,
  accused: readonly string[],
  gapMs = CRASH_GAP_MS,
): void {
  for (const [index, names] of accused.entries()) {
    evidence.addCrash({
      server: toId<BackendServerId>(`engine-${index}`),
      startedAt: 1,
      ageMs: NOW_MS - FIRST_CRASH_MS - index * gapMs,
      parts: idsOf(names),
    }, NOW_MS);
  }
}

function addSuccess(
  evidence: KnownEvidence,
  name: string,
  atMs = FIRST_CRASH_MS - 1,
): void {
  const success = { atMs, isOwn: true };
  evidence.successes.record(idOf(name), success);
}

function judge(evidence: KnownEvidence): string[] {
  return judgeParts(evidence.toEvidence(new Set())).map(({ part }) => part);
}

describe("the parts that crash servers", () => {
  it("are not those that sound requests have, too", () => {
    const evidence = new KnownEvidence();
    addCrashes(evidence, ["abx", "abx", "acx", "abx", "acx", "abx"]);
    for (const name of "abc") addSuccess(evidence, name);
    expect(judge(evidence)).toEqual(["x"]);
  });

  it("are not found by crashes that only the same request could explain", () => {
    const evidence = new KnownEvidence();
    addCrashes(evidence, ["ax", "ax"]);
    expect(judge(evidence)).toEqual([]);
  });

  it("are not those that many requests share when all servers end", () => {
    const evidence = new KnownEvidence();
    addCrashes(evidence, Array.from({ length: 40 }, () => "ab"), 20);
    addSuccess(evidence, "a");
    addSuccess(evidence, "b");
    expect(judge(evidence)).toEqual([]);
  });

  it("are not new ones that were in flight when all servers ended", () => {
    const evidence = new KnownEvidence();
    addCrashes(evidence, ["an", "an", "an", "an"], 20);
    addSuccess(evidence, "a");
    expect(judge(evidence)).toEqual([]);
  });

  it("are found although they were sound before", () => {
    const evidence = new KnownEvidence();
    addCrashes(evidence, ["ax", "ax", "ax", "ax", "ax"]);
    addSuccess(evidence, "a", FIRST_CRASH_MS + CRASH_GAP_MS + 1);
    addSuccess(evidence, "x");
    expect(judge(evidence)).toEqual(["x"]);
  });

  it("are not those that a server has run after the crashes", () => {
    const evidence = new KnownEvidence();
    addCrashes(evidence, ["x", "x", "x"]);
    addSuccess(evidence, "x", FIRST_CRASH_MS + 2 * CRASH_GAP_MS + 1);
    expect(judge(evidence)).toEqual([]);
  });

  it("are all of those that nothing tells apart", () => {
    const evidence = new KnownEvidence();
    addCrashes(evidence, ["xy", "xy", "xy"]);
    expect(judge(evidence)).toEqual(["x", "y"]);
  });

  it("don't include parts whose crashes another part explains", () => {
    const evidence = new KnownEvidence();
    addCrashes(evidence, ["xr", "xr", "xr", "x"]);
    expect(judge(evidence)).toEqual(["x"]);
  });

  it("include a whole request after three crashes, however close", () => {
    const evidence = new KnownEvidence();
    addCrashes(evidence, ["aR", "aRS", "aR"], 5);
    addSuccess(evidence, "a");
    expect(judge(evidence)).toEqual([toRequestSuspect("R")]);
  });

  it("don't include parts whose crashes a whole request explains", () => {
    const evidence = new KnownEvidence();
    addCrashes(evidence, ["xR", "xR", "xR"]);
    expect(judge(evidence)).toEqual([toRequestSuspect("R")]);
  });

  it("don't include whole requests whose crashes a part explains", () => {
    const evidence = new KnownEvidence();
    addCrashes(evidence, ["xR", "xR", "xS", "xR"]);
    expect(judge(evidence)).toEqual(idsOf("x"));
  });

  it("don't include a whole request that has run since", () => {
    const evidence = new KnownEvidence();
    addCrashes(evidence, ["R", "R", "R"]);
    addSuccess(evidence, "R", FIRST_CRASH_MS + CRASH_GAP_MS + 1);
    expect(judge(evidence)).toEqual([]);
  });

  it("are found separately if there are several", () => {
    const evidence = new KnownEvidence();
    addCrashes(evidence, ["ax", "ay", "ax", "ay", "ax", "ay", "ax"]);
    addSuccess(evidence, "a", FIRST_CRASH_MS + 5 * CRASH_GAP_MS);
    expect(judge(evidence)).toEqual(["x", "y"]);
  });

  it("count one crash once although several VMs report it", () => {
    const evidence = new KnownEvidence();
    for (const ageMs of [0, 200, 400]) {
      evidence.addCrash({
        server: toId<BackendServerId>("engine"),
        startedAt: 1,
        ageMs,
        parts: idsOf("x"),
      }, NOW_MS);
    }
    expect(evidence.ledger.size).toEqual(1);
    expect(judge(evidence)).toEqual([]);
  });

  it("are found though connections to the same servers broke before", () => {
    const evidence = new KnownEvidence();
    for (const index of [0, 1, 2]) {
      const server = toId<BackendServerId>(`engine-${index}`);
      evidence.addCrash({
        server,
        startedAt: 1,
        ageMs: NOW_MS - FIRST_CRASH_MS + 5000,
        parts: idsOf("ab"),
      }, NOW_MS);
    }
    addCrashes(evidence, ["abx", "abx", "abx"]);
    for (const name of "ab") addSuccess(evidence, name);
    expect(judge(evidence)).toEqual(["x"]);
  });
});

const ARRIVAL = fc.oneof(
  fc.record({
    kind: fc.constant("crash" as const),
    server: fc.integer({ min: 0, max: 7 }),
    /** Several VMs report a crash; some took something else for one before. */
    ageMs: fc.oneof(
      fc.integer({ min: 0, max: 400 }),
      fc.integer({ min: 5000, max: 5400 }),
    ),
    parts: fc.uniqueArray(fc.constantFrom("a", "b", "c", "x", "y"), {
      minLength: 1,
    }),
  }),
  fc.record({
    kind: fc.constant("success" as const),
    part: fc.constantFrom("a", "b", "c"),
    ageMs: fc.integer({ min: 0, max: 70_000 }),
  }),
);

describe("the verdict", () => {
  it("doesn't depend on the order in which evidence arrives", () => {
    const property = fc.property(
      fc.array(ARRIVAL, { maxLength: 40 }).chain((arrivals) =>
        fc.tuple(
          fc.constant(arrivals),
          fc.shuffledSubarray(arrivals, { minLength: arrivals.length }),
        )
      ),
      (orders) => {
        const [first, second] = orders.map((arrivals) => {
          const evidence = new KnownEvidence();
          for (const arrival of arrivals) {
            if (arrival.kind === "success") {
              addSuccess(evidence, arrival.part, NOW_MS - arrival.ageMs);
              continue;
            }
            evidence.addCrash({
              server: toId<BackendServerId>(`engine-${arrival.server}`),
              startedAt: 1,
              ageMs: arrival.server * 1000 + arrival.ageMs,
              parts: idsOf(arrival.parts.join("")),
            }, NOW_MS);
          }
          return judge(evidence);
        });
        expect(first).toEqual(second);
      },
    );
    fc.assert(property, { seed: 27, numRuns: 500 });
  });
});
