import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { ObjectStore } from "../platform/object_store.js";
import { PlatformError } from "../platform/platform_error.js";
import { MAX_KEPT_ANSWER_BYTES } from "./kept_answer.js";
import {
  claimOf,
  ClaimStoreFleet,
  makeAnswer,
  WANTED,
} from "./testing/claim_store_fleet.js";

/** Far more than an answer needs that waits for nobody. */
const GIVE_UP_MS = 10_000;

let fleet: ClaimStoreFleet;

beforeEach(() => {
  fleet = new ClaimStoreFleet();
});

afterEach(() => {
  fleet.close();
});

describe("createClaimStore", () => {
  it("lets one of many that claim a key at once hold it", async () => {
    const stores = [
      await fleet.start("vm-a"),
      await fleet.start("vm-b"),
      await fleet.start("vm-c"),
    ];
    const claimants = [...stores, ...stores, ...stores, ...stores];
    const decisions = await Promise.all(
      claimants.map(({ claimStore }) =>
        claimStore.claim(fleet.request("key-1", { deadlineMs: 300 }), WANTED)
      ),
    );
    const kinds = decisions.map((decision) => decision.kind);
    expect(kinds.filter((kind) => kind === "held").length).toEqual(1);
    expect(kinds.filter((kind) => kind === "outcomeUnknown").length)
      .toEqual(11);
  });

  it("gives a repeat the recorded answer, at any VM", async () => {
    const a = await fleet.start("vm-a");
    const b = await fleet.start("vm-b");
    const held = claimOf(
      await a.claimStore.claim(fleet.request("key-1"), WANTED),
    );
    const answer = makeAnswer('{"certificate":7}');
    expect(await a.claimStore.recordOutcome(held, { kind: "answered", answer }))
      .toEqual(true);
    for (const { claimStore } of [a, b]) {
      expect(await claimStore.claim(fleet.request("key-1"), WANTED))
        .toEqual({ kind: "answered", answer });
    }
  });

  it("lets a repeat wait for the answer of the running request", async () => {
    const a = await fleet.start("vm-a");
    const b = await fleet.start("vm-b");
    const held = claimOf(
      await a.claimStore.claim(fleet.request("key-1"), WANTED),
    );
    const repeats = [a, b].map(({ claimStore }) =>
      claimStore.claim(fleet.request("key-1"), WANTED)
    );
    await sleep(100);
    const answer = makeAnswer("whole");
    await a.claimStore.recordOutcome(held, { kind: "answered", answer });
    for (const decision of await Promise.all(repeats)) {
      expect(decision).toEqual({ kind: "answered", answer });
    }
  });

  it("refuses other content, and says what is unknown", async () => {
    const a = await fleet.start("vm-a");
    const held = claimOf(
      await a.claimStore.claim(fleet.request("key-1"), WANTED),
    );
    const other = fleet.request("key-1", { content: "content-2" });
    expect((await a.claimStore.claim(other, WANTED)).kind).toEqual(
      "otherContent",
    );
    await a.claimStore.recordOutcome(held, { kind: "unknown" });
    expect((await a.claimStore.claim(fleet.request("key-1"), WANTED)).kind)
      .toEqual("outcomeUnknown");
  });

  it("frees a key whose request was not run", async () => {
    const a = await fleet.start("vm-a");
    const b = await fleet.start("vm-b");
    const held = claimOf(
      await a.claimStore.claim(fleet.request("key-1"), WANTED),
    );
    await a.claimStore.recordOutcome(held, { kind: "notRun" });
    const again = await b.claimStore.claim(fleet.request("key-1"), WANTED);
    expect(again.kind).toEqual("held");
  });

  it("keeps a key taken whose answer was too large to keep", async () => {
    const a = await fleet.start("vm-a");
    const held = claimOf(
      await a.claimStore.claim(fleet.request("key-1"), WANTED),
    );
    const answer = makeAnswer("x".repeat(MAX_KEPT_ANSWER_BYTES + 1));
    await a.claimStore.recordOutcome(held, { kind: "answered", answer });
    const repeat = await a.claimStore.claim(fleet.request("key-1"), WANTED);
    if (repeat.kind !== "answered") throw new Error(repeat.kind);
    expect(repeat.answer.contentType).toEqual("application/problem+json");
    expect(repeat.answer.body).toEqual(expect.includes('"notRun":false'));
  });

  it("settles lost answers by reading back", async () => {
    const a = await fleet.start("vm-a");
    fleet.store.answersToLose = 3;
    const held = claimOf(
      await a.claimStore.claim(fleet.request("key-1"), WANTED),
    );
    fleet.store.answersToLose = 2;
    await a.claimStore.recordOutcome(held, { kind: "notRun" });
    const again = await a.claimStore.claim(fleet.request("key-1"), WANTED);
    expect(again.kind).toEqual("held");
    const second = await a.claimStore.claim(
      fleet.request("key-1", { deadlineMs: 200 }),
      WANTED,
    );
    expect(second.kind).toEqual("outcomeUnknown");
  });

  it("refuses during an outage, and claims after it", async () => {
    const a = await fleet.start("vm-a");
    await fleet.start("vm-b");
    fleet.store.isDown = true;
    const refused = await a.claimStore.claim(fleet.request("key-1"), WANTED);
    expect(refused.kind).toEqual("unavailable");
    fleet.store.isDown = false;
    const held = claimOf(
      await a.claimStore.claim(fleet.request("key-1"), WANTED),
    );
    fleet.store.isDown = true;
    const recording = a.claimStore.recordOutcome(held, {
      kind: "answered",
      answer: makeAnswer("late"),
    });
    await sleep(100);
    fleet.store.isDown = false;
    expect(await recording).toEqual(true);
    const repeat = await a.claimStore.claim(fleet.request("key-1"), WANTED);
    expect(repeat).toEqual({ kind: "answered", answer: makeAnswer("late") });
  });

  it("claims through a peer while it doesn't reach the platform", async () => {
    const a = await fleet.start("vm-a");
    const b = await fleet.start("vm-b");
    a.connection.isCut = true;
    const kinds: string[] = [];
    for (const key of ["key-1", "key-2", "key-3", "key-4"]) {
      const held = claimOf(
        await a.claimStore.claim(fleet.request(key), WANTED),
      );
      await a.claimStore.recordOutcome(held, { kind: "unknown" });
      const repeat = await b.claimStore.claim(fleet.request(key), WANTED);
      kinds.push(repeat.kind);
    }
    expect(kinds).toEqual([
      "outcomeUnknown",
      "outcomeUnknown",
      "outcomeUnknown",
      "outcomeUnknown",
    ]);
  });

  it("commits directly when the preferred VM is silent", async () => {
    const stores = [await fleet.start("vm-a"), await fleet.start("vm-b")];
    fleet.peers.isHeldBack = () => true;
    for (const { claimStore } of stores) {
      for (const key of ["key-1", "key-2", "key-3", "key-4"]) {
        await claimStore.claim(fleet.request(key, { deadlineMs: 700 }), WANTED);
      }
    }
    const held = [...fleet.store.objects.values()].flatMap((object) =>
      (object.value as { records?: unknown[] }).records ?? []
    );
    expect(held.length).toEqual(4);
  });

  it("sees the answer of a VM that it is cut off from", async () => {
    const a = await fleet.start("vm-a");
    const b = await fleet.start("vm-b");
    a.network.isCut = true;
    const held = claimOf(
      await a.claimStore.claim(fleet.request("key-1"), WANTED),
    );
    const repeat = b.claimStore.claim(fleet.request("key-1"), WANTED);
    await sleep(100);
    const answer = makeAnswer("from beyond the cut");
    await a.claimStore.recordOutcome(held, { kind: "answered", answer });
    expect(await repeat).toEqual({ kind: "answered", answer });
  });

  it("says that the outcome is unknown when the holder has died", async () => {
    const a = await fleet.start("vm-a");
    const b = await fleet.start("vm-b");
    claimOf(await a.claimStore.claim(fleet.request("key-1"), WANTED));
    const renewed = await fleet.restart("vm-a", "life-2");
    for (const { claimStore } of [b, renewed]) {
      const abort = new AbortController();
      const request = fleet.request("key-1", { deadlineMs: 600_000 });
      const waited = sleep(GIVE_UP_MS, { kind: "waited" }, {
        signal: abort.signal,
      });
      const decision = await Promise.race([
        claimStore.claim(request, WANTED),
        waited,
      ]);
      abort.abort();
      await waited.catch(() => undefined);
      expect(decision.kind).toEqual("outcomeUnknown");
    }
  });

  it("frees a claim that was made for an attempt given up", async () => {
    const a = await fleet.start("vm-a");
    const b = await fleet.start("vm-b");
    const replies = new Set(["claimReply", "claimRequest"]);
    fleet.peers.isHeldBack = (message) => replies.has(message.type);
    a.connection.isCut = true;
    const refused = await a.claimStore.claim(fleet.request("key-1"), WANTED);
    expect(refused.kind).toEqual("unavailable");
    const { held } = fleet.peers;
    expect(held.length).toBeGreaterThan(0);
    await fleet.peers.deliverHeld(held.map((_, index) => index));
    await sleep(50);
    expect(fleet.store.objects.size).toBeGreaterThan(1);
    fleet.peers.isHeldBack = () => false;
    a.connection.isCut = false;
    const repeat = await b.claimStore.claim(fleet.request("key-1"), WANTED);
    expect(repeat.kind).toEqual("held");
  });
});

describe("createClaimStore over a store that applies updates late", () => {
  it("lets one hold the key", async () => {
    const late: Promise<unknown>[] = [];
    const lateFleet = new ClaimStoreFleet({
      wrap: (store) => delayEverySecondUpdate(store, late),
    });
    try {
      const a = await lateFleet.start("vm-a");
      const b = await lateFleet.start("vm-b");
      for (let round = 0; round < 5; round++) {
        const kinds = await Promise.all(
          [a, b, a, b].map(async ({ claimStore }) => {
            const request = lateFleet.request(`key-${round}`, {
              deadlineMs: 400,
            });
            return (await claimStore.claim(request, WANTED)).kind;
          }),
        );
        expect(kinds.filter((kind) => kind === "held").length)
          .toBeLessThanOrEqual(1);
      }
      await Promise.allSettled(late);
    } finally {
      lateFleet.close();
    }
  });
});

/** The caller is told at once that the outcome is unknown. */
function delayEverySecondUpdate(
  store: ObjectStore,
  late: Promise<unknown>[],
): ObjectStore {
  let updates = 0;
  return {
    read: (key) => store.read(key),
    list: (prefix) => store.list(prefix),
    remove: (key, version) => store.remove(key, version),
    watch: (request, signal) => store.watch(request, signal),
    listVms: () => store.listVms(),
    update: (key, value, expected) => {
      updates++;
      if (updates % 2 === 1) return store.update(key, value, expected);
      late.push(sleep(10).then(() => store.update(key, value, expected)));
      return Promise.reject(
        new PlatformError("outcomeUnknown", "The answer did not come in time"),
      );
    },
  };
}
