import { type SuspectId, toId } from "@sassafrasstage/protocol/ids";
import type { StoredObject } from "@sassafrasstage/protocol/platform_objects";
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { MONOTONIC_CLOCK } from "../clock.js";
import { createLogger } from "../observability/logger.js";
import { Metrics } from "../observability/metrics.js";
import {
  type MemoryConnection,
  MemoryObjectStore,
} from "../platform/testing/memory_object_store.js";
import type { PartBlock } from "../poison_parts/part_blocks.js";
import type { DeploymentObjectFormat } from "./deployment_object_format.js";
import { StoredPartBlocks } from "./stored_part_blocks.js";
import { ObjectWatch } from "./watch_objects.js";

const PART = toId<SuspectId>("aa");
const PREFIX = "part-blocks/";
const TIMEOUT_MS = 3000;
const POLL_INTERVAL_MS = 10;
const SETTLE_MS = 400;

interface Vm {
  readonly connection: MemoryConnection;
  readonly blocks: StoredPartBlocks;
  readonly seen: () => readonly PartBlock[];
}

const openVms: { close(): Promise<void> }[] = [];
afterEach(async () => {
  await Promise.all(openVms.splice(0).map((vm) => vm.close()));
});

function makeFormat(): DeploymentObjectFormat {
  const format: Partial<DeploymentObjectFormat> = {
    partBlocksPrefix: PREFIX,
    readPartBlock: ({ value }: StoredObject) =>
      typeof value === "object"
        ? { kind: "value", value: value as PartBlock }
        : { kind: "unreadable", detail: "not an object" },
    partBlockKey: (part) => PREFIX + part,
    partBlockValue: (block) => block,
  };
  return format as DeploymentObjectFormat;
}

function startVm(store: MemoryObjectStore): Vm {
  const connection = store.connect();
  const common = {
    store: connection,
    metrics: new Metrics(),
    logger: createLogger("error", {}),
  };
  const blocks = new StoredPartBlocks({
    ...common,
    objectFormat: makeFormat(),
  });
  const watch = new ObjectWatch({
    ...common,
    mirror: blocks.mirror,
    waitMs: TIMEOUT_MS,
    clock: MONOTONIC_CLOCK,
  });
  openVms.push({
    close: () => {
      blocks.close();
      return watch.close();
    },
  });
  let present: readonly PartBlock[] = [];
  blocks.onChanged((newBlocks) => {
    present = newBlocks;
  });
  return { connection, blocks, seen: () => present };
}

function makeBlock(overrides: Partial<PartBlock> = {}): PartBlock {
  return {
    part: PART,
    crashes: 5,
    failedProbes: 0,
    lastCrashAgeMs: 0,
    ...overrides,
  };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  const deadlineMs = performance.now() + TIMEOUT_MS;
  while (!condition()) {
    if (performance.now() > deadlineMs) throw new Error("Timed out");
    await sleep(POLL_INTERVAL_MS);
  }
}

function storedBlocks(store: MemoryObjectStore): unknown[] {
  return [...store.objects.values()].map(({ value }) => value);
}

describe("StoredPartBlocks", () => {
  it("shows a block to other VMs, and to one that starts later", async () => {
    const store = new MemoryObjectStore();
    const [first, second] = [startVm(store), startVm(store)];
    first.blocks.publish(makeBlock());
    await waitUntil(() => second.seen().length === 1);
    const late = startVm(store);
    await waitUntil(() => late.seen().length === 1);
    expect(late.seen()).toEqual([makeBlock()]);
  });

  it("keeps the higher counts when several VMs publish the same part", async () => {
    const store = new MemoryObjectStore();
    const vms = [startVm(store), startVm(store), startVm(store)];
    for (const [index, { blocks }] of vms.entries()) {
      blocks.publish(
        makeBlock({ crashes: 5 + index, failedProbes: 2 - index }),
      );
    }
    await waitUntil(() => vms.every(({ seen }) => seen()[0]?.crashes === 7));
    await sleep(SETTLE_MS);
    expect(storedBlocks(store))
      .toEqual([makeBlock({ crashes: 7, failedProbes: 2 })]);
  });

  it("writes nothing that is stored already", async () => {
    const store = new MemoryObjectStore();
    const [first, second] = [startVm(store), startVm(store)];
    first.blocks.publish(makeBlock());
    await waitUntil(() => second.seen().length === 1);
    second.blocks.publish(makeBlock());
    await sleep(SETTLE_MS);
    expect(store.calls.get("update")).toEqual(1);
  });

  it("stores a block once after a response was lost", async () => {
    const store = new MemoryObjectStore();
    const { blocks, seen } = startVm(store);
    store.responsesToLose = 1;
    blocks.publish(makeBlock());
    await waitUntil(() => seen().length === 1);
    await sleep(SETTLE_MS);
    expect(store.calls.get("update")).toEqual(1);
  });

  it("stores a block when the platform is back", async () => {
    const store = new MemoryObjectStore();
    const { blocks, seen } = startVm(store);
    store.isDown = true;
    blocks.publish(makeBlock());
    await sleep(SETTLE_MS);
    store.isDown = false;
    await waitUntil(() => seen().length === 1);
  });

  it("removes a withdrawn block, also one that is just being published", async () => {
    const store = new MemoryObjectStore();
    const [first, second] = [startVm(store), startVm(store)];
    first.blocks.publish(makeBlock());
    await waitUntil(() => second.seen().length === 1);
    second.blocks.withdraw(PART);
    await waitUntil(() => first.seen().length === 0);
    first.blocks.publish(makeBlock());
    first.blocks.withdraw(PART);
    await sleep(SETTLE_MS);
    expect(storedBlocks(store)).toEqual([]);
  });

  it("skips an object that can't be read", async () => {
    const store = new MemoryObjectStore();
    store.put(`${PREFIX}bb`, "unreadable");
    const { blocks, seen } = startVm(store);
    blocks.publish(makeBlock());
    await waitUntil(() => seen().length === 1);
    expect(seen()).toEqual([makeBlock()]);
  });

  it("stores a bounded number of blocks", async () => {
    const store = new MemoryObjectStore();
    const { blocks, seen } = startVm(store);
    for (let n = 0; n < 64; n++) {
      blocks.publish(makeBlock({ part: toId<SuspectId>(`p${n}`) }));
    }
    await waitUntil(() => seen().length === 64);
    for (let n = 64; n < 80; n++) {
      blocks.publish(makeBlock({ part: toId<SuspectId>(`p${n}`) }));
    }
    await sleep(SETTLE_MS);
    expect(storedBlocks(store).length).toEqual(64);
  });
});
