import type { VmId } from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { describe, it } from "node:test";
import {
  type Disturbance,
  type FleetOutcome,
  SimulatedFleet,
} from "./testing/simulated_fleet.js";
import { LIMITS } from "./testing/simulated_owner.js";
import { Random, type SimulatedFault } from "./testing/simulated_versions.js";

const SEEDS = 30;
const ROLLBACK_MS = 5000;
const TICK_MS = 50;

function drawFault(random: Random): SimulatedFault {
  const route = random.chance(0.3) ? "b" : undefined;
  return {
    kind: random.chance(0.5) ? "failure" : "slow",
    share: random.between(0.25, 1),
    factor: random.between(4, 8),
    fromMs: random.chance(0.3) ? random.between(1000, 4000) : 0,
    untilMs: Infinity,
    applies: (call) => route === undefined || call.route === route,
  };
}

function drawDisturbances(random: Random): Disturbance[] {
  const kinds = [
    "kill",
    "freeze",
    "partition",
    "restart",
    "store",
    "loss",
  ] as const;
  return Array.from({ length: 1 + random.below(3) }, () => {
    const kind = kinds[random.below(kinds.length)] ?? "kill";
    const atMs = TICK_MS * Math.round(random.between(500, 8000) / TICK_MS);
    const lengthMs = TICK_MS * Math.round(random.between(500, 4000) / TICK_MS);
    const step = 2 + random.below(4);
    return {
      kind,
      atMs,
      untilMs: atMs + lengthMs,
      concerns: (vm: number, owner: VmId | undefined): boolean =>
        kind === "restart" || `vm-${vm}` === owner || vm % step === 0,
    };
  });
}

function play(
  seed: number,
  options: { readonly isFaulty: boolean; readonly isDisturbed: boolean },
): FleetOutcome {
  const random = new Random(seed);
  const faults = options.isFaulty ? [drawFault(random)] : [];
  const disturbances = options.isDisturbed ? drawDisturbances(random) : [];
  return new SimulatedFleet({ random, faults, disturbances }).run();
}

function seeds(): number[] {
  return Array.from({ length: SEEDS }, (_, index) => index + 1);
}

/** Seeds whose outcome violates the exposure rule. */
function findViolations(isDisturbed: boolean): unknown[] {
  return seeds().map((seed) => ({
    seed,
    ...play(seed, { isFaulty: true, isDisturbed }),
  })).filter(({ exposed, requests, lastAfterFiftiethBadMs }) =>
    exposed > LIMITS.share * requests + LIMITS.slack ||
    lastAfterFiftiethBadMs > ROLLBACK_MS
  );
}

describe("rollouts over 84 VMs with a request a second each", () => {
  // One violation makes a whole day of service worthless.
  it("keep the exposure rule with faulty versions", () => {
    expect(findViolations(false)).toEqual([]);
  });

  // Permits must not be granted twice after a change of the owner, by two
  // owners at once, or after a write whose response was lost.
  it("keep it while VMs and the store are disturbed", () => {
    expect(findViolations(true)).toEqual([]);
  });

  // Sound versions that aren't completed by the deadline count as failed.
  it("complete sound versions in time", () => {
    const phases = seeds().map((seed) =>
      play(seed, { isFaulty: false, isDisturbed: false }).phase
    );
    const completed = phases.filter((phase) => phase === "completed");
    expect(completed.length >= SEEDS - 1).toEqual(true);
  });
});
