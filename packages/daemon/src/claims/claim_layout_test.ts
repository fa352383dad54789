import { expect } from "earl";
import { describe, it } from "node:test";
import type { Logger } from "../observability/logger.js";
import { MemoryObjectStore } from "../platform/testing/memory_object_store.js";
import { EPOCH_MS, LayoutStore } from "./claim_layout.js";

function makeLayoutStore(store: MemoryObjectStore, partitions: number): {
  readonly layoutStore: LayoutStore;
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
  const layoutStore = new LayoutStore({
    store: store.connect(),
    clock: { nowMs: () => clock.atMs },
    logger,
    partitions,
  });
  return { layoutStore, clock, warnings };
}

describe("LayoutStore", () => {
  it("keeps the initial number of partitions when the settings differ", async () => {
    const store = new MemoryObjectStore();
    store.responsesToLose = 1;
    const first = makeLayoutStore(store, 4);
    const second = makeLayoutStore(store, 9);
    expect(await first.layoutStore.partitions()).toEqual(4);
    expect(await second.layoutStore.partitions()).toEqual(4);
    expect(second.warnings).toEqual(["claimPartitionsDiffer"]);
  });

  it("ends an epoch only after observing it for its whole duration", async () => {
    const store = new MemoryObjectStore();
    const a = makeLayoutStore(store, 4);
    const b = makeLayoutStore(store, 4);
    await a.layoutStore.read();
    await a.layoutStore.advanceEpoch();
    a.clock.atMs = EPOCH_MS - 1;
    await a.layoutStore.advanceEpoch();
    expect((await a.layoutStore.read()).epoch).toEqual(0);
    a.clock.atMs = EPOCH_MS;
    await a.layoutStore.advanceEpoch();
    expect((await a.layoutStore.read()).epoch).toEqual(1);
    // b's clock is far ahead, but b has only just observed the epoch.
    b.clock.atMs = 100 * EPOCH_MS;
    await b.layoutStore.advanceEpoch();
    expect((await b.layoutStore.read()).epoch).toEqual(1);
  });
});
