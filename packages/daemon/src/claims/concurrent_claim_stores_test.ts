import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { ClaimOutcome } from "@sassafrasstage/protocol/claims";
import type { ObjectStore } from "../platform/object_store.js";
import { PlatformError } from "../platform/platform_error.js";
import {
  ClaimStoreFleet,
  type FleetVm,
  makeAnswer,
  NEVER_ABORTED,
} from "./testing/claim_store_fleet.js";

const SEED = 20_261_203;
const RUNS = 25;
const VM_IDS = ["vm-a", "vm-b", "vm-c"];
const SHORT_DEADLINE_MS = 200;

/** Outcome of one call of the object store. */
const FAULTS = ["none", "slow", "lost", "late", "refused"] as const;
type Fault = (typeof FAULTS)[number];

const faultArbitrary = fc.constantFrom<Fault>(
  "none",
  "none",
  "none",
  ...FAULTS,
);

const stepArbitrary = fc.record({
  vmIndex: fc.nat({ max: VM_IDS.length - 1 }),
  key: fc.constantFrom("key-1", "key-2", "key-3"),
  outcome: fc.constantFrom("answered", "notRun", "unknown", "died"),
  afterMs: fc.nat({ max: 20 }),
  runMs: fc.nat({ max: 15 }),
});
type Step = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value
  : never;

/** Counts how often each key was held since it was last freed. */
class HeldKeys {
  readonly #counts = new Map<string, number>();
  readonly violations: string[] = [];
  total = 0;

  add(key: string): void {
    this.total++;
    const count = (this.#counts.get(key) ?? 0) + 1;
    this.#counts.set(key, count);
    if (count > 1) this.violations.push(key);
  }

  free(key: string): void {
    this.#counts.set(key, 0);
  }
}

function withFaults(store: ObjectStore, faults: readonly Fault[]): ObjectStore {
  let calls = 0;
  async function run<Result>(call: () => Promise<Result>): Promise<Result> {
    const fault = faults[calls++ % faults.length] ?? "none";
    switch (fault) {
      case "none":
        return await call();
      case "slow":
        await sleep(5);
        return await call();
      case "lost":
        await call();
        throw new PlatformError("outcomeUnknown", "The response was lost");
      case "late":
        void sleep(7).then(call).catch(() => undefined);
        throw new PlatformError("outcomeUnknown", "The response came too late");
      case "refused":
        throw new PlatformError("notDone", "The platform refused the call");
    }
  }
  return {
    read: (key) => run(() => store.read(key)),
    list: (prefix) => run(() => store.list(prefix)),
    remove: (key, version) => run(() => store.remove(key, version)),
    watch: (request, signal) => store.watch(request, signal),
    listVms: () => store.listVms(),
    update: (key, value, expected) =>
      run(() => store.update(key, value, expected)),
  };
}

async function runStep(
  fleet: ClaimStoreFleet,
  vm: FleetVm,
  run: { readonly step: Step; readonly held: HeldKeys },
): Promise<void> {
  const { key, outcome, afterMs, runMs } = run.step;
  await sleep(afterMs);
  const request = fleet.request(key, { deadlineMs: SHORT_DEADLINE_MS });
  const decision = await vm.claimStore.claim(request, NEVER_ABORTED);
  if (decision.kind !== "held") return;
  run.held.add(key);
  await sleep(runMs);
  if (outcome === "died") return;
  if (outcome === "notRun") run.held.free(key);
  await vm.claimStore.recordOutcome(decision.claim, toOutcome(outcome));
}

function toOutcome(kind: "answered" | "notRun" | "unknown"): ClaimOutcome {
  if (kind !== "answered") return { kind };
  return { kind, answer: makeAnswer("an answer") };
}

describe("concurrent claim stores", () => {
  it("let only one request hold a key until it is freed", async () => {
    let totalHeld = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, { minLength: 4, maxLength: 14 }),
        fc.array(faultArbitrary, { minLength: 5, maxLength: 40 }),
        fc.array(fc.boolean(), { minLength: 3, maxLength: 20 }),
        async (steps, faults, heldBackChoices) => {
          const fleet = new ClaimStoreFleet({
            partitions: 1,
            wrap: (store) => withFaults(store, faults),
          });
          let messages = 0;
          fleet.peers.isHeldBack = () =>
            heldBackChoices[messages++ % heldBackChoices.length] ?? false;
          const vms: FleetVm[] = [];
          for (const vmId of VM_IDS) vms.push(await fleet.start(vmId));
          const held = new HeldKeys();
          const work = steps.map(async (step) => {
            const vm = vms[step.vmIndex];
            if (vm === undefined) throw new Error("Expected a started VM");
            await runStep(fleet, vm, { step, held });
          });
          await sleep(30);
          const reversedOrder = fleet.peers.held.map((_, index) => index)
            .reverse();
          await fleet.peers.deliverHeld(reversedOrder);
          await Promise.all(work);
          await Promise.all(vms.map(({ claimStore }) => claimStore.flush(50)));
          fleet.close();
          if (held.violations.length > 0) {
            throw new Error(`Keys held twice: ${held.violations.join(", ")}`);
          }
          totalHeld += held.total;
        },
      ),
      { seed: SEED, numRuns: RUNS, endOnFailure: true },
    );
    expect(totalHeld).toBeGreaterThan(RUNS);
  });
});
