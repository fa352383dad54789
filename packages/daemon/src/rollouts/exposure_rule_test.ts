import { expect } from "earl";
import { describe, it, mock } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import {
  DURATION_MS,
  EXPOSURE,
  SimulatedRollout,
} from "./testing/simulated_rollout.js";

const SEEDS = 30;
const VM_COUNT = 84;
const REQUESTS_PER_SECOND = 84;
const STEP_MS = 500;
const STEPS = (DURATION_MS + 5000) / STEP_MS;
/** Probability of a fault in each step. */
const FAULT_PROBABILITY = 0.3;

/** Disturbs the fleet or its store, or ends an earlier disturbance. */
function disturb(fleet: SimulatedRollout, random: RandomGenerator): void {
  const index = uniformInt(random, 0, VM_COUNT - 1);
  const owner = fleet.ownerIndex();
  switch (uniformInt(random, 0, 8)) {
    case 0:
      fleet.kill(owner);
      return;
    case 1:
      fleet.freeze(owner);
      return;
    case 2:
      for (let n = 0; n < VM_COUNT; n++) {
        if (fleet.vms[n]?.isFrozen === true) fleet.thaw(n);
      }
      return;
    case 3:
      fleet.restart(index);
      return;
    case 4:
      fleet.store.isDown = !fleet.store.isDown;
      return;
    case 5: {
      const isLost = uniformFloat64(random) < 0.5;
      fleet.store.isResponseLost = () => isLost;
      return;
    }
    case 6:
      for (const vm of fleet.network.vms) {
        vm.partition = uniformInt(random, 0, 1);
      }
      return;
    case 7:
      for (const vm of fleet.network.vms) vm.partition = 0;
      return;
    case 8:
      if (fleet.vms[index] !== undefined) {
        fleet.vms[index].store.isDisconnected = true;
      }
  }
}

async function runDisturbed(seed: number): Promise<SimulatedRollout> {
  const random = xoroshiro128plus(seed);
  const fleet = new SimulatedRollout({
    vmCount: VM_COUNT,
    requestsPerSecond: REQUESTS_PER_SECOND,
    seed,
    timers: mock.timers,
  });
  const isSlow = uniformFloat64(random) < 0.5;
  fleet.behaviour = {
    failedShare: isSlow ? 0 : 0.2 + 0.8 * uniformFloat64(random),
    slowness: isSlow ? 3 + 5 * uniformFloat64(random) : 1,
  };
  await fleet.run(3000);
  fleet.request();
  for (let step = 0; step < STEPS; step++) {
    await fleet.run(STEP_MS);
    if (uniformFloat64(random) < FAULT_PROBABILITY) disturb(fleet, random);
  }
  for (const { rollouts } of fleet.vms) rollouts.close();
  return fleet;
}

describe("the exposure of a bad version", () => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    it(`stays in its bounds under random faults, seed ${seed}`, async () => {
      mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
      try {
        const fleet = await runDisturbed(seed);
        const deadlineMs = fleet.requestedAtMs + DURATION_MS;
        expect(fleet.countExposed(0, deadlineMs))
          .toBeLessThanOrEqual(fleet.maxExposed());
        const fiftiethMs = fleet.badTimesMs[49];
        if (fiftiethMs !== undefined) {
          const fromMs = fiftiethMs + EXPOSURE.rollbackMs;
          expect(fleet.countExposed(fromMs)).toEqual(0);
        }
      } finally {
        mock.timers.reset();
      }
    });
  }
});
