import { expect } from "earl";
import { describe, it } from "node:test";
import { DoorAdmission, type DoorRequest } from "./door_admission.js";
import { simulateVm, type VmResult } from "./testing/simulated_vm.js";
import { VmLag } from "./vm_lag.js";

const SEEDS = [21, 22, 23];

function simulate(
  policy: "legacy" | "callerCost",
  load: number,
): readonly VmResult[] {
  return SEEDS.map((seed) => simulateVm({ policy, load, cores: 0.25, seed }));
}

function mean(results: readonly VmResult[], key: "worthShare"): number {
  return results.reduce((sum, result) => sum + result[key], 0) /
    results.length;
}

function makeRequest(id: string, request: Partial<DoorRequest>): DoorRequest {
  return {
    id,
    groups: {
      account: undefined,
      kind: "note",
      priority: 0,
      relativeSize: 1,
    },
    isReturn: false,
    objectiveAtMs: 1500,
    deadlineAtMs: 6000,
    serviceMs: 300,
    costMs: 25,
    ...request,
  };
}

function makeDoor(): DoorAdmission {
  return new DoorAdmission(
    new VmLag({ cores: 0.25, sampleIntervalMs: 250, usedMs: () => 0 }),
  );
}

describe("DoorAdmission", () => {
  it("admits at once on an idle VM, even with little time left", () => {
    const request = makeRequest("a", { deadlineAtMs: 100, costMs: undefined });
    expect(makeDoor().offer(request, 0)).toEqual({ kind: "admitted" });
  });

  it("refuses nothing of the few requests that are read in one turn", () => {
    const door = makeDoor();
    for (const id of ["a", "b", "c"]) {
      const kind = door.offer(
        makeRequest(id, { deadlineAtMs: 100, costMs: 0.5 }),
        0,
      ).kind;
      expect(kind).toEqual(id === "a" ? "admitted" : "waiting");
    }
    for (const expected of ["b", "c"]) {
      const [later] = door.decide(1);
      expect(later?.request.id).toEqual(expected);
      expect(later?.decision.kind).toEqual("admitted");
    }
    expect(door.waitingCount).toEqual(0);
  });

  it("admits the work first that callers lose most by", () => {
    const door = makeDoor();
    door.offer(makeRequest("first", {}), 0);
    const label = { account: undefined, kind: "label", relativeSize: 1 };
    door.offer(
      makeRequest("label", { groups: { ...label, priority: 2 } }),
      0,
    );
    door.offer(makeRequest("note", {}), 0);
    expect(door.decide(1).map(({ request }) => request.id)).toEqual(["note"]);
  });

  it("refuses what can't be carried in time, with a bounded Retry-After", () => {
    const door = makeDoor();
    for (let n = 0; n < 100; n++) door.offer(makeRequest(`${n}`, {}), 0);
    const refused = door.decide(1).flatMap(({ decision }) =>
      decision.kind === "refused" ? [decision] : []
    );
    // 5,700 ms are left for requests of 100 ms each.
    expect(refused.length > 35 && refused.length < 48).toEqual(true);
    for (const { retryAfterMs } of refused) {
      expect(retryAfterMs >= 250 && retryAfterMs <= 1800).toEqual(true);
    }
  });

  it("forgets a request whose client is gone", () => {
    const door = makeDoor();
    door.offer(makeRequest("a", {}), 0);
    door.offer(makeRequest("b", {}), 0);
    door.remove("b");
    expect(door.decide(1)).toEqual([]);
  });
});

describe("a VM with a quarter of a core", () => {
  it("refuses nothing at the usual load", () => {
    for (const { refusals, onTimeShare } of simulate("callerCost", 1)) {
      expect(refusals).toEqual(0);
      expect(onTimeShare > 0.99).toEqual(true);
    }
  });

  it("serves more worth when its processor falls behind", () => {
    for (const [load, gain] of [[1.7, 0.05], [2.5, 0.1], [6, 0]] as const) {
      const before = mean(simulate("legacy", load), "worthShare");
      const after = mean(simulate("callerCost", load), "worthShare");
      expect(after >= before + gain).toEqual(true);
    }
  });

  it("hardly works on requests that it discards", () => {
    for (const { discardedShare } of simulate("callerCost", 2.5)) {
      expect(discardedShare < 0.03).toEqual(true);
    }
  });
});
