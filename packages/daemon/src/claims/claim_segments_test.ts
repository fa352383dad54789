import { MAX_OBJECT_BYTES } from "@sassafrasstage/protocol/platform_objects";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { RETENTION_EPOCHS } from "./claim_layout.js";
import { byteSizeOf, LAYOUT_KEY, parseLayout } from "./claim_objects.js";
import { MAX_STORED_ANSWER_BYTES } from "./stored_outcome.js";
import {
  ClaimStoreFleet,
  expectHeld,
  type FleetVm,
  makeAnswer,
  NEVER_ABORTED,
} from "./testing/claim_store_fleet.js";

/** Enough keys to fill the head several times. */
const KEY_COUNT = 60;

let fleet: ClaimStoreFleet;

beforeEach(() => {
  fleet = new ClaimStoreFleet({ partitions: 1 });
});

afterEach(() => {
  fleet.close();
});

function makeAnswerBody(key: string): string {
  return key.padEnd(MAX_STORED_ANSWER_BYTES, "x");
}

async function runRequests(
  vm: FleetVm,
  keys: readonly string[],
): Promise<void> {
  await Promise.all(keys.map(async (key) => {
    const held = expectHeld(
      await vm.claimStore.claim(fleet.request(key), NEVER_ABORTED),
    );
    const answer = makeAnswer(makeAnswerBody(key));
    await vm.claimStore.recordOutcome(held, { kind: "answered", answer });
  }));
}

function makeKeys(prefix: string): string[] {
  return Array.from({ length: KEY_COUNT }, (_, index) => `${prefix}-${index}`);
}

function segmentNames(): string[] {
  return [...fleet.store.objects.keys()].filter((key) =>
    key !== LAYOUT_KEY && !key.endsWith("/head")
  );
}

describe("claim segments", () => {
  it("keep every key and answer, in objects below the size limit", async () => {
    const a = await fleet.start("vm-a");
    const keys = makeKeys("key");
    await runRequests(a, keys);
    expect(segmentNames().length).toBeGreaterThan(1);
    for (const object of fleet.store.objects.values()) {
      expect(byteSizeOf(object.value)).toBeLessThan(MAX_OBJECT_BYTES);
    }
    const b = await fleet.start("vm-b");
    for (const key of keys) {
      const repeat = await b.claimStore.claim(
        fleet.request(key),
        NEVER_ABORTED,
      );
      expect(repeat).toEqual({
        kind: "answered",
        answer: makeAnswer(makeAnswerBody(key)),
      });
    }
  });

  it("record the outcome of a claim moved to a segment while running", async () => {
    const a = await fleet.start("vm-a");
    const longPrefix = `long-${"x".repeat(3000)}`;
    const keys = makeKeys(longPrefix);
    const held = await Promise.all(
      keys.map(async (key) =>
        expectHeld(await a.claimStore.claim(fleet.request(key), NEVER_ABORTED))
      ),
    );
    await runRequests(a, makeKeys("filler"));
    await Promise.all(
      held.map((claim, index) =>
        a.claimStore.recordOutcome(claim, {
          kind: index % 2 === 0 ? "notRun" : "unknown",
        })
      ),
    );
    const b = await fleet.start("vm-b");
    for (const [index, key] of keys.entries()) {
      const repeat = await b.claimStore.claim(
        fleet.request(key),
        NEVER_ABORTED,
      );
      expect(repeat.kind).toEqual(index % 2 === 0 ? "held" : "outcomeUnknown");
    }
  });

  it("are removed after their retention time, and not before", async () => {
    const a = await fleet.start("vm-a");
    const oldKeys = makeKeys("old");
    await runRequests(a, oldKeys);
    const oldNames = segmentNames();
    setEpoch(RETENTION_EPOCHS - 1);
    await runRequests(a, makeKeys("newer"));
    for (const name of oldNames) {
      expect(fleet.store.objects.has(name)).toEqual(true);
    }
    setEpoch(RETENTION_EPOCHS);
    await runRequests(a, makeKeys("newest"));
    for (const name of oldNames) {
      expect(fleet.store.objects.has(name)).toEqual(false);
    }
    const b = await fleet.start("vm-b");
    const kept = await b.claimStore.claim(
      fleet.request("newer-0"),
      NEVER_ABORTED,
    );
    expect(kept.kind).toEqual("answered");
  });
});

function setEpoch(epoch: number): void {
  const stored = fleet.store.objects.get(LAYOUT_KEY);
  const layout = parseLayout(stored?.value);
  fleet.store.put(LAYOUT_KEY, { ...layout, epoch });
}
