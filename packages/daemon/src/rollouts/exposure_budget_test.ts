import { toId, type VmId } from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import {
  ExposureBudget,
  maxExposure,
  type PermitDemand,
  planPermits,
} from "./exposure_budget.js";

const LIMITS = { share: 0.1, slack: 50 };
const ROUTES = ["a", "b", "c"];

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function makeDemands(vms: number, expected: number): PermitDemand[] {
  return Array.from({ length: vms }, (_, vm) =>
    ROUTES.map((route) => ({
      vm: toId<VmId>(`vm-${vm}`),
      route,
      expected,
      held: 0,
    }))).flat();
}

describe("planPermits", () => {
  // Rounding up for each VM would grant 84 permits where 4 are allowed.
  it("never grants more than the allowance or than a VM has demand for", () => {
    const demand = fc.record({
      vm: fc.nat(83).map((vm) => toId<VmId>(`vm-${vm}`)),
      route: fc.constantFrom(...ROUTES),
      expected: fc.double({ min: 0, max: 4, noNaN: true }),
      held: fc.nat(3),
    });
    const demands = fc.uniqueArray(demand, {
      selector: ({ vm, route }) => `${vm} ${route}`,
      maxLength: 100,
    });
    fc.assert(
      fc.property(
        demands,
        fc.double({ min: -5, max: 200, noNaN: true }),
        fc.nat(1000),
        (demands, allowance, turn) => {
          const samples = new Map([["a", 7]]);
          const grants = planPermits({ allowance, demands, samples, turn });
          const granted = sum(grants.map(({ count }) => count));
          expect(granted <= Math.max(0, allowance)).toEqual(true);
          for (const { vm, route, count } of grants) {
            const of = demands.find((it) => it.vm === vm && it.route === route);
            const room = Math.ceil(of?.expected ?? 0) - (of?.held ?? 0);
            expect(count <= room).toEqual(true);
          }
        },
      ),
    );
  });

  // A fault on the route with little traffic would go unnoticed.
  it("grants permits of the routes with the fewest samples first", () => {
    const samples = new Map([["a", 40], ["b", 4], ["c", 40]]);
    const demands = makeDemands(84, 0.5);
    const grants = planPermits({ allowance: 12, demands, samples });
    expect(new Set(grants.map(({ route }) => route))).toEqual(new Set(["b"]));
  });

  // Otherwise only the first VMs would ever expose anything.
  it("lets VMs take turns", () => {
    const demands = makeDemands(84, 0.5);
    const vms = new Set<VmId>();
    for (let turn = 0; turn < 40; turn++) {
      const plan = { allowance: 12, demands, samples: new Map(), turn };
      for (const { vm } of planPermits(plan)) vms.add(vm);
    }
    expect(vms.size > 60).toEqual(true);
  });
});

describe("ExposureBudget", () => {
  type Step = readonly [owner: number, action: string, count: number];

  // A permit granted twice, or for a reservation of another owner, would exceed
  // the bound without any VM noticing.
  it("keeps all owners together within the bound, whatever happens", () => {
    const step: fc.Arbitrary<Step> = fc.tuple(
      fc.nat(2),
      fc.constantFrom("reserve", "grant", "return", "requests", "replace"),
      fc.nat(40),
    );
    fc.assert(fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
      let store = { reserved: 0, serviceRequests: 0 };
      let requests = 0;
      let used = 0;
      const budgets = [0, 1, 2].map(() => new ExposureBudget(store));
      const held = [0, 0, 0];
      for (const [index, [owner, action, count]] of steps.entries()) {
        const budget = budgets[owner] ?? new ExposureBudget(store);
        const holds = held[owner] ?? 0;
        if (action === "requests") {
          requests += count;
          budget.recordServiceRequests(requests);
        } else if (action === "reserve") {
          const isKnown = budget.reserved === store.reserved;
          const due = budget.reservationDue(LIMITS, index * 1000);
          if (due !== undefined && isKnown) {
            store = due;
            budget.confirmReserved(due.reserved);
          }
          budget.adopt(store);
        } else if (action === "grant") {
          const granted = Math.min(count, budget.available());
          budget.recordGranted(granted);
          held[owner] = holds + granted;
        } else if (action === "return") {
          const returned = Math.min(count, holds);
          budget.recordReturned(returned);
          used += Math.floor((holds - returned) / 2);
          held[owner] = Math.ceil((holds - returned) / 2);
        } else {
          // Permits of a former owner are used and can't be returned.
          budgets[owner] = new ExposureBudget(store);
          used += holds;
          held[owner] = 0;
        }
        const bound = maxExposure(LIMITS, requests);
        expect(used + sum(held) <= bound).toEqual(true);
      }
    }));
  });

  // A whole slack that a killed owner reserved would be lost.
  it("reserves in portions, one a second", () => {
    const budget = new ExposureBudget({ reserved: 0, serviceRequests: 0 });
    const first = budget.reservationDue(LIMITS, 0);
    expect(first?.reserved).toEqual(20);
    budget.confirmReserved(20);
    budget.recordGranted(20);
    expect(budget.reservationDue(LIMITS, 900)).toEqual(undefined);
    expect(budget.reservationDue(LIMITS, 1000)?.reserved).toEqual(40);
  });
});
