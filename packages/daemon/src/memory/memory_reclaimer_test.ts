import { expect } from "earl";
import { beforeEach, describe, it } from "node:test";
import { type CollectionKind, MemoryReclaimer } from "./memory_reclaimer.js";

const MB = 1_000_000;

describe(MemoryReclaimer.name, () => {
  let nowMs: number;
  let externalBytes: number;
  let heldBytes: number;
  /** Freed by a collection of that kind. */
  let freedBytes: Record<CollectionKind, number>;
  let collections: CollectionKind[];
  let reclaimer: MemoryReclaimer;

  beforeEach(() => {
    nowMs = 0;
    externalBytes = 0;
    heldBytes = 0;
    freedBytes = { minor: 0, major: 0 };
    collections = [];
    reclaimer = new MemoryReclaimer({
      maxGarbageBytes: 10 * MB,
      heldBytes: () => heldBytes,
      nowMs: () => nowMs,
      readExternalBytes: () => externalBytes,
      collect: (kind) => {
        collections.push(kind);
        externalBytes -= freedBytes[kind];
        nowMs += 5;
      },
    });
  });

  it("collects nothing while the buffers are in use", () => {
    externalBytes = 50 * MB;
    heldBytes = 45 * MB;
    reclaimer.check();
    expect(collections).toEqual([]);
  });

  it("starts a major collection only if a minor one isn't enough", () => {
    externalBytes = 12 * MB;
    freedBytes.minor = 5 * MB;
    reclaimer.check();
    expect(collections).toEqual(["minor"]);
    nowMs = 1000;
    externalBytes = 30 * MB;
    reclaimer.check();
    expect(collections).toEqual(["minor", "minor", "major"]);
  });

  // Guards against a process that does nothing but collect.
  it("waits four times as long as a collection took", () => {
    externalBytes = 30 * MB;
    reclaimer.check();
    nowMs += 39;
    reclaimer.check();
    expect(collections.length).toEqual(2);
    nowMs += 1;
    reclaimer.check();
    expect(collections.length).toEqual(4);
  });

  it("collects with the runtime's own function", () => {
    let majorCount = 0;
    new MemoryReclaimer({
      maxGarbageBytes: 0,
      heldBytes: () => 0,
      nowMs: () => performance.now(),
      onMajorCollection: () => {
        majorCount += 1;
      },
    }).check();
    expect(majorCount).toEqual(1);
  });
});
