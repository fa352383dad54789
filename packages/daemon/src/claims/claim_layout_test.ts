import { expect } from "earl";
import { describe, it } from "node:test";
import type { Logger } from "../observability/logger.js";
import { MemoryObjectStore } from "../platform/testing/memory_object_store.js";
import { EPOCH_MS, LayoutKeeper } from "./claim_layout.js";

function makeKeeper(store: MemoryObjectStore, partitions: number): {
  readonly claimStore: LayoutKeeper;
  readonly clock: { atMs: number };
  readonly warnings: string[];
} {
  const clock = { atMs: 0 };
  const warnings: string[] = [];
  const logger: Logger = {
    error: () => undefined,
    warn: (event) => {
      warnings.push(event);
    },
    info: () => undefined,
    debug: () => undefined,
  };
  const claimStore = new LayoutKeeper({
    store: store.connect(),
    clock: { nowMs: () => clock.atMs },
    logger,
    partitions,
  });
  return { claimStore, clock, warnings };
}

describe("LayoutKeeper", () => {
  it("keeps the first number of partitions, whatever the settings say", async () => {
    const store = new MemoryObjectStore();
    store.answersToLose = 1;
    const first = makeKeeper(store, 4);
    const second = makeKeeper(store, 9);
    expect(await first.claimStore.partitions()).toEqual(4);
    expect(await second.claimStore.partitions()).toEqual(4);
    expect(second.warnings).toEqual(["claimPartitionsDiffer"]);
  });

  it("ends an epoch only when it was seen for its whole time", async () => {
    const store = new MemoryObjectStore();
    const a = makeKeeper(store, 4);
    const b = makeKeeper(store, 4);
    await a.claimStore.read();
    await a.claimStore.advanceEpoch();
    a.clock.atMs = EPOCH_MS - 1;
    await a.claimStore.advanceEpoch();
    expect((await a.claimStore.read()).epoch).toEqual(0);
    a.clock.atMs = EPOCH_MS;
    await a.claimStore.advanceEpoch();
    expect((await a.claimStore.read()).epoch).toEqual(1);
    // However late its clock is, b has only just seen the epoch.
    b.clock.atMs = 100 * EPOCH_MS;
    await b.claimStore.advanceEpoch();
    expect((await b.claimStore.read()).epoch).toEqual(1);
  });
});
