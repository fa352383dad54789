import {
  type AttemptId,
  type SoftwareVersion,
  toId,
} from "@sassafrasstage/protocol/ids";
import type {
  StreamOrigin,
  VersionObservation,
} from "@sassafrasstage/protocol/stream_origin";
import { expect } from "earl";
import { describe, it, mock } from "node:test";
import { createLogger } from "../observability/logger.js";
import { Metrics } from "../observability/metrics.js";
import {
  HEARTBEAT_INTERVAL_MS,
  SimulatedNetwork,
} from "../peers/testing/simulated_network.js";
import { ServerRegister } from "../register/server_register.js";
import { ENCODER, makeReport } from "../testing/stage_samples.js";
import { ORIGIN_RETENTION_MS } from "./stream_origins.js";
import { StreamVersions } from "./stream_versions.js";

const ORIGIN: StreamOrigin = {
  service: ENCODER,
  softwareVersion: toId<SoftwareVersion>("v1"),
};
const STREAM_COUNT = 40;
/** Heartbeats within a data centre and, in large fleets, to another one first. */
const SETTLE_MS = 3 * HEARTBEAT_INTERVAL_MS;
const RESTARTED_VM = 3;

/** VMs in simulated time that remember where streams began. */
class StreamFleet {
  readonly network = new SimulatedNetwork(mock.timers);
  readonly register = new ServerRegister(() => undefined);
  readonly versions: StreamVersions[] = [];
  /** What earlier processes recorded on the platform. */
  recorded: VersionObservation = { versions: [], isComplete: false };
  /** Whether the VMs reach the store. */
  isStoreReached = true;
  storeCalls = 0;

  constructor(vmCount: number) {
    for (let n = 0; n < vmCount; n++) this.restart(n);
  }

  /** @param register The VM's own, if it differs from that of the others */
  restart(index: number, register = this.register): void {
    this.versions[index] = new StreamVersions({
      network: this.network.startVm(index),
      register,
      served: { recorded: () => this.recorded },
      confirmRegister: () => {
        this.storeCalls += 1;
        return Promise.resolve(this.isStoreReached);
      },
      clock: { nowMs: () => this.network.nowMs },
      metrics: new Metrics(),
      logger: createLogger("error", {}),
    });
  }

  vm(index: number): StreamVersions {
    const versions = this.versions[index % this.versions.length];
    if (versions === undefined) throw new Error(`No VM ${index}`);
    return versions;
  }

  async run(durationMs: number): Promise<void> {
    const endsAtMs = this.network.nowMs + durationMs;
    while (this.network.nowMs < endsAtMs) await this.network.step();
  }

  /** Lets the time pass until the origin is found, or known to be unknown. */
  async find(
    vm: StreamVersions,
    id: AttemptId | undefined,
  ): Promise<StreamOrigin | undefined> {
    let isDone = false;
    const found = vm.find({
      request: toId<AttemptId>("resumption"),
      resumedAttemptId: id,
      service: ENCODER,
    }).finally(() => {
      isDone = true;
    });
    // Only lookups set it, which the linter can't see.
    // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition
    while (!isDone) await this.network.step();
    return found;
  }

  /** Begins streams at different VMs; returns their ids. */
  async beginStreams(): Promise<AttemptId[]> {
    const ids: AttemptId[] = [];
    for (let n = 0; n < STREAM_COUNT; n++) {
      const id = toId<AttemptId>(`attempt-${n}`);
      this.vm(n).recordBegin(id, ORIGIN);
      ids.push(id);
    }
    await this.run(SETTLE_MS);
    return ids;
  }
}

async function withFleet(
  vmCount: number,
  test: (fleet: StreamFleet) => Promise<void>,
): Promise<void> {
  mock.timers.enable({ apis: ["setTimeout"] });
  try {
    await test(new StreamFleet(vmCount));
  } finally {
    mock.timers.reset();
  }
}

for (const vmCount of [6, 68, 300]) {
  describe(`the origin of a stream with ${vmCount} VMs`, () => {
    it("is found by every VM, in all data centres", async () => {
      await withFleet(vmCount, async (fleet) => {
        for (const [index, id] of (await fleet.beginStreams()).entries()) {
          const origin = await fleet.find(fleet.vm(index * 7 + 1), id);
          expect(origin).toEqual(ORIGIN);
        }
      });
    });

    it("is found after the VM that began the stream was restarted", async () => {
      await withFleet(vmCount, async (fleet) => {
        const ids = await fleet.beginStreams();
        fleet.restart(RESTARTED_VM);
        for (const [index, id] of ids.entries()) {
          for (const vm of [fleet.vm(RESTARTED_VM), fleet.vm(index)]) {
            expect(await fleet.find(vm, id)).toEqual(ORIGIN);
          }
        }
      });
    });

    it("is not guessed by a VM that is cut off", async () => {
      await withFleet(vmCount, async (fleet) => {
        fleet.register.apply(makeReport("a"), 0);
        const [id] = await fleet.beginStreams();
        const [, cutOff] = fleet.network.vms;
        if (cutOff !== undefined) cutOff.partition = 1;
        fleet.restart(1);
        const restarted = fleet.network.vms[1];
        if (restarted !== undefined) restarted.partition = 1;
        expect(await fleet.find(fleet.vm(1), id)).toEqual(undefined);
      });
    });
  });
}

describe("the origin of a stream that no VM remembers", () => {
  const id = toId<AttemptId>("never-seen");

  it("is the only version that served since before the stream began", async () => {
    await withFleet(1, async (fleet) => {
      fleet.register.apply(makeReport("a"), 0);
      expect(await fleet.find(fleet.vm(0), id)).toEqual(undefined);
      fleet.network.nowMs += ORIGIN_RETENTION_MS;
      expect(await fleet.find(fleet.vm(0), id)).toEqual(ORIGIN);
    });
  });

  it("is known from VMs that have observed the service for longer", async () => {
    await withFleet(6, async (fleet) => {
      fleet.register.apply(makeReport("a"), 0);
      fleet.network.nowMs += ORIGIN_RETENTION_MS;
      await fleet.run(HEARTBEAT_INTERVAL_MS);
      fleet.restart(RESTARTED_VM);
      expect(await fleet.find(fleet.vm(RESTARTED_VM), id)).toEqual(ORIGIN);
    });
  });

  it("is unknown while servers of two versions serve or have served", async () => {
    await withFleet(6, async (fleet) => {
      const { register } = fleet;
      register.apply(makeReport("a"), 0);
      const other = makeReport("b", {
        softwareVersion: toId<SoftwareVersion>("v2"),
      });
      register.apply(other, 0);
      fleet.network.nowMs += ORIGIN_RETENTION_MS;
      await fleet.run(HEARTBEAT_INTERVAL_MS);
      for (const attemptId of [id, undefined]) {
        expect(await fleet.find(fleet.vm(0), attemptId)).toEqual(undefined);
      }
      const removed = register.get(other.id);
      if (removed !== undefined) {
        for (const vm of fleet.versions) vm.recordServerEnded(removed);
      }
      register.remove(other.id);
      fleet.restart(RESTARTED_VM);
      for (const attemptId of [id, undefined]) {
        expect(await fleet.find(fleet.vm(RESTARTED_VM), attemptId))
          .toEqual(undefined);
      }
      fleet.network.nowMs += ORIGIN_RETENTION_MS;
      await fleet.run(HEARTBEAT_INTERVAL_MS);
      expect(await fleet.find(fleet.vm(RESTARTED_VM), id)).toEqual(ORIGIN);
    });
  });

  for (const attemptId of [id, undefined]) {
    const name = attemptId === undefined ? "unnamed" : "named";
    it(`is unknown to VMs that all were just restarted (${name})`, async () => {
      await withFleet(6, async (fleet) => {
        fleet.register.apply(makeReport("a"), 0);
        expect(await fleet.find(fleet.vm(0), attemptId)).toEqual(undefined);
      });
    });

    it(`is the only version that earlier processes recorded (${name})`, async () => {
      await withFleet(6, async (fleet) => {
        fleet.register.apply(makeReport("a"), 0);
        const { softwareVersion } = ORIGIN;
        fleet.recorded = { versions: [softwareVersion], isComplete: true };
        expect(await fleet.find(fleet.vm(0), attemptId)).toEqual(ORIGIN);
        const other = toId<SoftwareVersion>("v2");
        fleet.recorded = {
          versions: [softwareVersion, other],
          isComplete: true,
        };
        expect(await fleet.find(fleet.vm(0), attemptId)).toEqual(undefined);
      });
    });
  }
});

// Guards against a VM that was out of step taking a stream up at the only
// version it knows, while engines of another version joined and began it.
describe("the origin of a stream that began while a VM was out of step", () => {
  const id = toId<AttemptId>("begun-elsewhere");
  const outOfStep = 1;

  /** Lets the VM miss a version that all others have observed. */
  async function withVmOutOfStep(
    test: (fleet: StreamFleet) => Promise<void>,
  ): Promise<void> {
    await withFleet(6, async (fleet) => {
      const own = new ServerRegister(() => undefined);
      fleet.restart(outOfStep, own);
      for (const register of [own, fleet.register]) {
        register.apply(makeReport("a"), 0);
      }
      fleet.network.nowMs += ORIGIN_RETENTION_MS;
      await fleet.run(HEARTBEAT_INTERVAL_MS);
      const [, vm] = fleet.network.vms;
      if (vm !== undefined) vm.partition = 1;
      fleet.isStoreReached = false;
      const joined = makeReport("b", {
        softwareVersion: toId<SoftwareVersion>("v2"),
      });
      fleet.register.apply(joined, 0);
      await test(fleet);
    });
  }

  for (const attemptId of [id, undefined]) {
    const name = attemptId === undefined ? "unnamed" : "named";
    for (const cutMs of [0, 500, 1500, 5000]) {
      it(`isn't guessed after a cut of ${cutMs} ms (${name})`, async () => {
        await withVmOutOfStep(async (fleet) => {
          await fleet.run(cutMs);
          const origin = await fleet.find(fleet.vm(outOfStep), attemptId);
          expect(origin).toEqual(undefined);
        });
      });
    }

    it(`isn't guessed right after the VM is back (${name})`, async () => {
      await withVmOutOfStep(async (fleet) => {
        await fleet.run(5000);
        const [, vm] = fleet.network.vms;
        if (vm !== undefined) vm.partition = 0;
        const origin = await fleet.find(fleet.vm(outOfStep), attemptId);
        expect(origin).toEqual(undefined);
      });
    });

    it(`is found by a VM that reaches the store only (${name})`, async () => {
      await withFleet(6, async (fleet) => {
        fleet.register.apply(makeReport("a"), 0);
        fleet.network.nowMs += ORIGIN_RETENTION_MS;
        await fleet.run(HEARTBEAT_INTERVAL_MS);
        const [, vm] = fleet.network.vms;
        if (vm !== undefined) vm.partition = 1;
        const origin = await fleet.find(fleet.vm(outOfStep), attemptId);
        expect(origin).toEqual(ORIGIN);
      });
    });

    it(`is found without the store while all VMs answer (${name})`, async () => {
      await withFleet(6, async (fleet) => {
        fleet.register.apply(makeReport("a"), 0);
        fleet.isStoreReached = false;
        fleet.network.nowMs += ORIGIN_RETENTION_MS;
        await fleet.run(HEARTBEAT_INTERVAL_MS);
        const origin = await fleet.find(fleet.vm(outOfStep), attemptId);
        expect(origin).toEqual(ORIGIN);
        expect(fleet.storeCalls).toEqual(0);
      });
    });
  }
});
