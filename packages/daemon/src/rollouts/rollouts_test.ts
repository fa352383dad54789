import { expect } from "earl";
import { describe, it, mock } from "node:test";
import {
  CANDIDATE,
  DURATION_MS,
  EXPOSURE,
  GOOD,
  SimulatedRollout,
  type VersionBehaviour,
} from "./testing/simulated_rollout.js";

const VM_COUNT = 24;
const REQUESTS_PER_SECOND = 84;
const BEFORE_MS = 3000;
/** Time after the rollout request by which permits are in use. */
const OBSERVING_MS = 2500;
const SETTLED_MS = DURATION_MS + 3000;
const SEED = 11;
const FAILING: VersionBehaviour = { failedShare: 0.5, slowness: 1 };
const SLOW: VersionBehaviour = { failedShare: 0, slowness: 5 };

async function withFleet(
  test: (fleet: SimulatedRollout) => Promise<void>,
  seed = SEED,
): Promise<void> {
  mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
  try {
    const fleet = new SimulatedRollout({
      vmCount: VM_COUNT,
      requestsPerSecond: REQUESTS_PER_SECOND,
      seed,
      timers: mock.timers,
    });
    await fleet.run(BEFORE_MS);
    await test(fleet);
    for (const { rollouts } of fleet.vms) rollouts.close();
  } finally {
    mock.timers.reset();
  }
}

/** The exposure rule for a version that is bad or whose verdict is open. */
function expectBounded(fleet: SimulatedRollout): void {
  const exposed = fleet.countExposed();
  expect(exposed).toBeLessThanOrEqual(fleet.maxExposed());
  const fiftiethMs = fleet.badTimesMs[49];
  if (fiftiethMs === undefined) return;
  expect(fleet.countExposed(fiftiethMs + EXPOSURE.rollbackMs)).toEqual(0);
}

async function expectRolledBack(fleet: SimulatedRollout): Promise<void> {
  expect(fleet.status).toEqual({ state: "rolledBack", to: CANDIDATE });
  expectBounded(fleet);
  const exposed = fleet.countExposed();
  await fleet.run(2000);
  expect(fleet.countExposed()).toEqual(exposed);
}

async function expectCompleted(fleet: SimulatedRollout): Promise<void> {
  expect(fleet.status).toEqual({ state: "completed", to: CANDIDATE });
  const { nowMs } = fleet.network;
  await fleet.run(1000);
  expect(fleet.countCurrent(nowMs)).toEqual(0);
}

describe("the rollout of a version by a fleet", () => {
  it("completes for a good version before its deadline", async () => {
    await withFleet(async (fleet) => {
      fleet.request();
      await fleet.run(DURATION_MS);
      await expectCompleted(fleet);
    });
  });

  for (
    const [name, behaviour] of [["failing", FAILING], ["slow", SLOW]] as const
  ) {
    it(`is rolled back for a ${name} version`, async () => {
      await withFleet(async (fleet) => {
        fleet.behaviour = behaviour;
        fleet.request();
        await fleet.run(SETTLED_MS);
        await expectRolledBack(fleet);
      });
    });
  }

  it("sends nothing to servers that appear before the request", async () => {
    await withFleet(async (fleet) => {
      // The request itself doesn't arrive.
      fleet.store.isDown = true;
      fleet.request();
      await fleet.run(1400);
      expect(fleet.admissions(CANDIDATE)).toEqual(new Set(["never"]));
      await fleet.run(200);
      expect(fleet.admissions(CANDIDATE)).toEqual(new Set(["freely"]));
    });
  });
});

describe("a rollout whose owner is lost", () => {
  it("completes for a good version", async () => {
    await withFleet(async (fleet) => {
      fleet.request();
      await fleet.run(OBSERVING_MS);
      fleet.kill(fleet.ownerIndex());
      await fleet.run(DURATION_MS - OBSERVING_MS);
      await expectCompleted(fleet);
    });
  });

  it("keeps its bounds for a bad version", async () => {
    await withFleet(async (fleet) => {
      fleet.behaviour = FAILING;
      fleet.request();
      for (let kills = 0; kills < 4; kills++) {
        await fleet.run(600);
        fleet.kill(fleet.ownerIndex());
      }
      await fleet.run(SETTLED_MS);
      await expectRolledBack(fleet);
    });
  });

  it("keeps its bounds when the former owner runs again", async () => {
    await withFleet(async (fleet) => {
      fleet.behaviour = { failedShare: 0.05, slowness: 1 };
      fleet.request();
      await fleet.run(OBSERVING_MS);
      const owner = fleet.ownerIndex();
      fleet.freeze(owner);
      await fleet.run(3000);
      fleet.thaw(owner);
      await fleet.run(DURATION_MS - OBSERVING_MS - 3000);
      if (fleet.status.state !== "completed") expectBounded(fleet);
    });
  });

  it("goes on from the store when all VMs restart", async () => {
    await withFleet(async (fleet) => {
      fleet.behaviour = FAILING;
      fleet.request();
      for (let restarts = 0; restarts < 3; restarts++) {
        await fleet.run(900);
        for (let n = 0; n < VM_COUNT; n++) fleet.restart(n);
      }
      await fleet.run(SETTLED_MS);
      await expectRolledBack(fleet);
    });
  });
});

describe("a rollout with two owners", () => {
  it("keeps its bounds while the VMs are partitioned", async () => {
    await withFleet(async (fleet) => {
      fleet.behaviour = FAILING;
      for (const [index, vm] of fleet.network.vms.entries()) {
        vm.partition = index % 2;
      }
      await fleet.run(1500);
      fleet.request();
      await fleet.run(SETTLED_MS);
      await expectRolledBack(fleet);
    });
  });
});

describe("a rollout while the store has faults", () => {
  it("is resolved although responses to writes are lost", async () => {
    await withFleet(async (fleet) => {
      fleet.store.isResponseLost = () => true;
      fleet.request();
      await fleet.run(DURATION_MS);
      await expectCompleted(fleet);
    });
  });

  it("exposes nothing more than was reserved before an outage", async () => {
    await withFleet(async (fleet) => {
      fleet.behaviour = FAILING;
      fleet.request();
      await fleet.run(1000);
      fleet.store.isDown = true;
      await fleet.run(DURATION_MS);
      expectBounded(fleet);
      const exposed = fleet.countExposed();
      await fleet.run(3000);
      expect(fleet.countExposed()).toEqual(exposed);
      fleet.store.isDown = false;
      await fleet.run(2000);
      await expectRolledBack(fleet);
    });
  });

  it("keeps the verdict when the store returns from an older copy", async () => {
    await withFleet(async (fleet) => {
      fleet.behaviour = FAILING;
      fleet.request();
      await fleet.run(500);
      const copy = fleet.copyStore();
      await fleet.run(SETTLED_MS);
      expect(fleet.status.state).toEqual("rolledBack");
      fleet.returnStore(copy);
      await fleet.run(3000);
      await expectRolledBack(fleet);
    });
  });

  it("keeps the bound when the store loses a reservation", async () => {
    await withFleet(async (fleet) => {
      fleet.behaviour = { failedShare: 0.02, slowness: 1 };
      const before = fleet.copyStore();
      fleet.request();
      await fleet.run(3000);
      const request = fleet.copyStore().get("rollouts/registry");
      if (request !== undefined) before.set(request.key, request);
      fleet.returnStore(before);
      fleet.kill(fleet.ownerIndex());
      await fleet.run(3000);
      expectBounded(fleet);
    });
  });
});

describe("a rollout request", () => {
  it("that is withdrawn frees the servers for use", async () => {
    await withFleet(async (fleet) => {
      fleet.request();
      await fleet.run(1000);
      fleet.withdraw();
      await fleet.run(1000);
      expect(fleet.admissions(CANDIDATE)).toEqual(new Set(["freely"]));
    });
  });

  it("that is replaced makes the former candidate a current version", async () => {
    await withFleet(async (fleet) => {
      fleet.request();
      await fleet.run(1000);
      fleet.request("v3" as typeof CANDIDATE);
      await fleet.run(2000);
      expect(fleet.admissions(CANDIDATE)).toEqual(new Set(["freely"]));
      expect(fleet.status).toEqual({ state: "serving", to: "v3" });
    });
  });

  it("that is withdrawn after a roll-back keeps the version out of use", async () => {
    await withFleet(async (fleet) => {
      fleet.behaviour = FAILING;
      fleet.request();
      await fleet.run(SETTLED_MS);
      fleet.withdraw();
      const exposed = fleet.countExposed();
      await fleet.run(3000);
      expect(fleet.countExposed()).toEqual(exposed);
    });
  });
});

describe("a VM out of touch", () => {
  it("sends nothing to the candidate before the rollout is completed", async () => {
    await withFleet(async (fleet) => {
      fleet.behaviour = GOOD;
      const [lost] = fleet.vms;
      if (lost === undefined) return;
      fleet.request();
      await fleet.run(500);
      lost.network.partition = 1;
      lost.store.isDisconnected = true;
      const sinceMs = fleet.network.nowMs + 1500;
      await fleet.run(DURATION_MS);
      expect(fleet.status.state).toEqual("completed");
      const sentByLost = fleet.sent.filter(({ vm, version, atMs }) =>
        vm === 0 && version === CANDIDATE && atMs > sinceMs
      );
      expect(sentByLost.length).toEqual(0);
      lost.network.partition = 0;
      lost.store.isDisconnected = false;
      await fleet.run(500);
      await expectCompleted(fleet);
    });
  });
});
