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
import { makeSampleContent, readDeadlineMs } from "./testing/sample_content.js";

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

function replaceWithDeadline(id: string, deadlineMs: number): Submission {
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

async function readStoredDeadlineMs(store: MemoryObjectStore): Promise<number> {
  const connection = store.connect();
  const head = await readHead(connection);
  if (head === undefined) return 0;
  const parts = await new PartReader(connection).read(head.accepted);
  return readDeadlineMs(toConfiguration(parts, head.accepted.generation));
}

describe("acceptConfiguration", () => {
  it("numbers accepted changes with consecutive generations", async () => {
    const store = new MemoryObjectStore();
    const connection = store.connect();
    await acceptConfiguration(connection, replaceWithDeadline("a", 1001));
    const second = await acceptConfiguration(
      connection,
      replaceWithDeadline("b", 1002),
    );
    expect(second).toLooseEqual(
      expect.subset({ kind: "accepted", generation: 2 }),
    );
    expect(await readStoredDeadlineMs(store)).toEqual(1002);
  });

  it("accepts one of several concurrent changes and reports conflicts to the rest", async () => {
    const store = new MemoryObjectStore();
    await acceptConfiguration(store.connect(), submission("first"));
    store.delayMs = () => 1;
    const results = await Promise.all(
      [1, 2, 3, 4].map((number) =>
        acceptConfiguration(
          store.connect(),
          replaceWithDeadline(`race-${number}`, 2000 + number),
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

  it("determines the outcome by reading the head after a lost response", async () => {
    const store = new MemoryObjectStore();
    await acceptConfiguration(store.connect(), submission("first"));
    const updatedKeys: string[] = [];
    store.isResponseLost = (key) => updatedKeys.push(key) <= 2;
    const result = await acceptConfiguration(
      store.connect(),
      replaceWithDeadline("lost", 1234),
    );
    expect(result).toLooseEqual(
      expect.subset({ kind: "accepted", generation: 2 }),
    );
    expect(await readStoredDeadlineMs(store)).toEqual(1234);
    expect(updatedKeys.at(-1)).toEqual(HEAD_KEY);
  });

  it("accepts a resubmitted change id only once", async () => {
    const store = new MemoryObjectStore();
    await acceptConfiguration(
      store.connect(),
      replaceWithDeadline("same", 1001),
    );
    await acceptConfiguration(
      store.connect(),
      replaceWithDeadline("next", 1002),
    );
    const repeat = await acceptConfiguration(
      store.connect(),
      replaceWithDeadline("same", 1001),
    );
    expect(repeat).toEqual({
      kind: "accepted",
      generation: 1,
      changeId: toId<ChangeId>("same"),
    });
    expect(await readStoredDeadlineMs(store)).toEqual(1002);
  });

  it("returns a configuration only for the accepted content of a change id", async () => {
    const store = new MemoryObjectStore();
    await acceptConfiguration(store.connect(), submission("first"));
    store.delayMs = () => 1;
    const results = await Promise.all(
      [1001, 1002, 1003].map((deadlineMs) =>
        acceptConfiguration(
          store.connect(),
          replaceWithDeadline("same", deadlineMs),
        )
      ),
    );
    expect(kinds(results)).toEqual(["accepted", "accepted", "accepted"]);
    const deadlinesMs = results.flatMap((result) =>
      result.kind === "accepted" && result.configuration !== undefined
        ? [readDeadlineMs(result.configuration)]
        : []
    );
    store.delayMs = () => 0;
    expect(deadlinesMs).toEqual([await readStoredDeadlineMs(store)]);
  });

  it("reports a conflict for a change based on an older generation", async () => {
    const store = new MemoryObjectStore();
    await acceptConfiguration(store.connect(), submission("a"));
    await acceptConfiguration(store.connect(), submission("b"));
    const result = await acceptConfiguration(
      store.connect(),
      submission("c", { basedOnGeneration: 1 }),
    );
    expect(result.kind).toEqual("conflict");
  });

  it("rejects content with a broken reference without writing anything", async () => {
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

  it("keeps parts within the size limit and writes only changed ones", async () => {
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
    const changed = {
      ...big,
      rules: { ...big.rules, dataCentresOut: ["palermo"] },
    };
    await acceptConfiguration(
      store.connect(),
      submission("out", { change: { kind: "replace", content: changed } }),
    );
    const added = partKeys(store).filter((key) => !before.has(key));
    expect(accounts).toEqual(28_000);
    expect(added.length).toEqual(1);
  });

  it("removes only the parts of generations that are no longer kept", async () => {
    const store = new MemoryObjectStore();
    for (let number = 0; number < 30; number += 1) {
      await acceptConfiguration(
        store.connect(),
        replaceWithDeadline(`change-${number}`, 1000 + number),
      );
    }
    await sleep(10);
    // One rules part per kept generation; the other four parts never changed.
    expect(partKeys(store).length).toEqual(10 + 4);
    expect(await readStoredDeadlineMs(store)).toEqual(1029);
  });

  it("accepts a generation above the known one when the head is missing", async () => {
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
