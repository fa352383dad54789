import { expect } from "earl";
import { describe, it, mock } from "node:test";
import { SimulatedFleet } from "./testing/simulated_fleet.js";

const LIMIT_PER_SECOND = 1;
const DEMAND_PER_SECOND = 10;
/** Until all VMs know the limit. */
const SETTLE_MS = 1500;
const SPAN_MS = 4000;
const PHASE_MS = 6000;
const ACCEPTED_IN_SPAN = LIMIT_PER_SECOND * SPAN_MS / 1000;
/** Requests that a server may get at once after it got fewer than it accepts. */
const BURST = 2;
const SEED = 7;

/** Runs a fleet whose server has a limit; returns it with the limit known. */
async function withLimitedFleet(
  vmCount: number,
  test: (fleet: SimulatedFleet, fromMs: number) => Promise<void>,
): Promise<void> {
  mock.timers.enable({ apis: ["setTimeout"] });
  try {
    const fleet = new SimulatedFleet({
      vmCount,
      requestsPerSecond: DEMAND_PER_SECOND,
      seed: SEED,
      timers: mock.timers,
    });
    await fleet.run(1000);
    fleet.statement = {
      kind: "limited",
      requestsPerSecond: LIMIT_PER_SECOND,
    };
    await fleet.run(SETTLE_MS);
    await test(fleet, fleet.network.nowMs);
  } finally {
    mock.timers.reset();
  }
}

function expectLimitKept(fleet: SimulatedFleet, fromMs: number): void {
  const max = fleet.maxArrivals(SPAN_MS, fromMs);
  expect(max <= ACCEPTED_IN_SPAN + BURST).toEqual(true);
}

for (const vmCount of [6, 68, 300]) {
  describe(`the rate limit of a server with ${vmCount} VMs`, () => {
    it("is kept and used in the absence of faults", async () => {
      await withLimitedFleet(vmCount, async (fleet, fromMs) => {
        await fleet.run(2 * PHASE_MS);
        expectLimitKept(fleet, fromMs);
        const received = fleet.countArrivals(fromMs);
        const accepted = 2 * PHASE_MS / 1000 * LIMIT_PER_SECOND;
        expect(received >= accepted - BURST).toEqual(true);
      });
    });

    it("is kept while a third of the VMs is partitioned from the others", async () => {
      await withLimitedFleet(vmCount, async (fleet, fromMs) => {
        for (const vm of fleet.network.vms) {
          if (vm.self.dataCentre === "dc-1") vm.partition = 1;
        }
        await fleet.run(PHASE_MS);
        for (const vm of fleet.network.vms) vm.partition = 0;
        await fleet.run(PHASE_MS);
        expectLimitKept(fleet, fromMs);
        const received = fleet.countArrivals(fromMs);
        expect(received >= PHASE_MS / 1000 * LIMIT_PER_SECOND).toEqual(true);
      });
    });

    it("is kept while the VM that grants requests is paused", async () => {
      await withLimitedFleet(vmCount, async (fleet, fromMs) => {
        const owner = fleet.ownerIndex();
        fleet.network.pause(owner);
        await fleet.run(PHASE_MS);
        fleet.network.resume(owner);
        await fleet.run(PHASE_MS);
        expectLimitKept(fleet, fromMs);
        const received = fleet.countArrivals(fromMs);
        expect(received >= PHASE_MS / 1000 * LIMIT_PER_SECOND).toEqual(true);
      });
    });

    it("is kept when the VM that grants requests restarts several times", async () => {
      await withLimitedFleet(vmCount, async (fleet, fromMs) => {
        for (let n = 0; n < 4; n++) {
          fleet.restart(fleet.ownerIndex());
          await fleet.run(PHASE_MS / 3);
        }
        expectLimitKept(fleet, fromMs);
      });
    });

    it("ends at all VMs once the server no longer states it", async () => {
      await withLimitedFleet(vmCount, async (fleet) => {
        fleet.statement = { kind: "unlimited" };
        await fleet.run(PHASE_MS);
        const endedAtMs = fleet.network.nowMs;
        await fleet.run(PHASE_MS);
        const received = fleet.countArrivals(endedAtMs);
        const demanded = DEMAND_PER_SECOND * PHASE_MS / 1000;
        expect(received > demanded / 2).toEqual(true);
      });
    });
  });
}
