import { type ChangeId, toId } from "@sassafrasstage/protocol/ids";
import { MAX_OBJECT_BYTES } from "@sassafrasstage/protocol/platform_objects";
import { expect } from "earl";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { MemoryObjectStore } from "../platform/testing/memory_object_store.js";
import {
  acceptConfiguration,
  type AcceptResult,
  type Submission,
} from "./accept_configuration.js";
import { HEAD_KEY, PARTS_PREFIX } from "./configuration_head.js";
import { PartReader, readHead, toConfiguration } from "./read_configuration.js";
import { makeSampleContent, readMark } from "./testing/sample_content.js";

function submission(
  id: string,
  fields: Partial<Submission> = {},
): Submission {
  return {
    change: { kind: "replace", content: makeSampleContent() },
    changeId: toId<ChangeId>(id),
    author: "ada",
    knownGeneration: 0,
    ...fields,
  };
}

function replaceWithMark(id: string, deadlineMs: number): Submission {
  const content = makeSampleContent({ deadlineMs });
  return submission(id, { change: { kind: "replace", content } });
}

function kinds(results: readonly AcceptResult[]): string[] {
  return results.map((result) => result.kind).sort();
}

function partKeys(store: MemoryObjectStore): string[] {
  return [...store.objects.keys()].filter((key) =>
    key.startsWith(PARTS_PREFIX)
  );
}

async function readMarkInStore(store: MemoryObjectStore): Promise<number> {
  const connection = store.connect();
  const head = await readHead(connection);
  if (head === undefined) return 0;
  const parts = await new PartReader(connection).read(head.accepted);
  return readMark(toConfiguration(parts, head.accepted.generation));
}

describe("acceptConfiguration", () => {
  it("accepts generations one after the other", async () => {
    const store = new MemoryObjectStore();
    const connection = store.connect();
    await acceptConfiguration(connection, replaceWithMark("a", 1001));
    const second = await acceptConfiguration(
      connection,
      replaceWithMark("b", 1002),
    );
    expect(second).toLooseEqual(
      expect.subset({ kind: "accepted", generation: 2 }),
    );
    expect(await readMarkInStore(store)).toEqual(1002);
  });

  it("lets one of racing operators through and tells the others", async () => {
    const store = new MemoryObjectStore();
    await acceptConfiguration(store.connect(), submission("first"));
    store.delayMs = () => 1;
    const results = await Promise.all(
      [1, 2, 3, 4].map((number) =>
        acceptConfiguration(
          store.connect(),
          replaceWithMark(`race-${number}`, 2000 + number),
        )
      ),
    );
    expect(kinds(results)).toEqual([
      "accepted",
      "conflict",
      "conflict",
      "conflict",
    ]);
    for (const result of results) {
      if (result.kind === "conflict") {
        expect(result.newer.generation).toEqual(2);
      }
    }
  });

  it("settles a lost answer by reading back", async () => {
    const store = new MemoryObjectStore();
    await acceptConfiguration(store.connect(), submission("first"));
    const lost: string[] = [];
    store.isAnswerLost = (key) => lost.push(key) <= 2;
    const result = await acceptConfiguration(
      store.connect(),
      replaceWithMark("lost", 1234),
    );
    expect(result).toLooseEqual(
      expect.subset({ kind: "accepted", generation: 2 }),
    );
    expect(await readMarkInStore(store)).toEqual(1234);
    expect(lost.at(-1)).toEqual(HEAD_KEY);
  });

  it("accepts a repeated change id once", async () => {
    const store = new MemoryObjectStore();
    await acceptConfiguration(store.connect(), replaceWithMark("same", 1001));
    await acceptConfiguration(store.connect(), replaceWithMark("next", 1002));
    const repeat = await acceptConfiguration(
      store.connect(),
      replaceWithMark("same", 1001),
    );
    expect(repeat).toEqual({
      kind: "accepted",
      generation: 1,
      changeId: toId<ChangeId>("same"),
    });
    expect(await readMarkInStore(store)).toEqual(1002);
  });

  it("hands on only what was accepted under a change id", async () => {
    const store = new MemoryObjectStore();
    await acceptConfiguration(store.connect(), submission("first"));
    store.delayMs = () => 1;
    const results = await Promise.all(
      [1001, 1002, 1003].map((mark) =>
        acceptConfiguration(store.connect(), replaceWithMark("same", mark))
      ),
    );
    expect(kinds(results)).toEqual(["accepted", "accepted", "accepted"]);
    const marks = results.flatMap((result) =>
      result.kind === "accepted" && result.configuration !== undefined
        ? [readMark(result.configuration)]
        : []
    );
    store.delayMs = () => 0;
    expect(marks).toEqual([await readMarkInStore(store)]);
  });

  it("refuses a change that is based on an older generation", async () => {
    const store = new MemoryObjectStore();
    await acceptConfiguration(store.connect(), submission("a"));
    await acceptConfiguration(store.connect(), submission("b"));
    const result = await acceptConfiguration(
      store.connect(),
      submission("c", { basedOnGeneration: 1 }),
    );
    expect(result.kind).toEqual("conflict");
  });

  it("changes nothing when a reference is broken", async () => {
    const store = new MemoryObjectStore();
    await acceptConfiguration(store.connect(), submission("a"));
    const revision = store.revision;
    const content = structuredClone(makeSampleContent());
    const broken = {
      ...content,
      rules: { ...content.rules, dataCentresOut: ["absent"] },
    };
    const result = await acceptConfiguration(
      store.connect(),
      submission("b", { change: { kind: "replace", content: broken } }),
    );
    expect(result).toEqual({
      kind: "invalid",
      faults: [{
        path: "rules.dataCentresOut.0",
        message: 'No data centre is named "absent"',
      }],
    });
    expect(store.revision).toEqual(revision);
  });

  it("writes only the parts that changed, each small enough", async () => {
    const store = new MemoryObjectStore();
    const big = makeSampleContent({
      clientAccounts: 28_000,
      serversPerDataCentre: 2350,
    });
    await acceptConfiguration(
      store.connect(),
      submission("big", { change: { kind: "replace", content: big } }),
    );
    const before = new Set(partKeys(store));
    for (const object of store.objects.values()) {
      const bytes = Buffer.byteLength(JSON.stringify(object.value));
      expect(bytes).toBeLessThanOrEqual(MAX_OBJECT_BYTES);
    }
    const accounts = big.rules.clientAccounts.length;
    const smaller = {
      ...big,
      rules: { ...big.rules, dataCentresOut: ["palermo"] },
    };
    await acceptConfiguration(
      store.connect(),
      submission("out", { change: { kind: "replace", content: smaller } }),
    );
    const added = partKeys(store).filter((key) => !before.has(key));
    expect(accounts).toEqual(28_000);
    expect(added.length).toEqual(1);
  });

  it("removes the parts of long past generations alone", async () => {
    const store = new MemoryObjectStore();
    for (let number = 0; number < 30; number += 1) {
      await acceptConfiguration(
        store.connect(),
        replaceWithMark(`change-${number}`, 1000 + number),
      );
    }
    await sleep(10);
    // One rules part for each kept generation; the other four never changed.
    expect(partKeys(store).length).toEqual(10 + 4);
    expect(await readMarkInStore(store)).toEqual(1029);
  });

  it("never goes below a generation known to be in force", async () => {
    const store = new MemoryObjectStore();
    const result = await acceptConfiguration(
      store.connect(),
      submission("after-loss", { knownGeneration: 41 }),
    );
    expect(result).toLooseEqual(
      expect.subset({ kind: "accepted", generation: 42 }),
    );
  });
});
