import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { ObjectStore } from "../platform/object_store.js";
import { PlatformError } from "../platform/platform_error.js";
import { headKey, LAYOUT_KEY } from "./claim_objects.js";
import { MAX_STORED_ANSWER_BYTES } from "./stored_outcome.js";
import {
  ClaimStoreFleet,
  expectHeld,
  makeAnswer,
  NEVER_ABORTED,
} from "./testing/claim_store_fleet.js";

/** Leaves time for recording claims on an event loop that runs late. */
const CONCURRENT_CLAIM_DEADLINE_MS = 2000;
const SHORT_DEADLINE_MS = 300;
/** Far longer than a decision takes if it doesn't wait for the holder. */
const HANG_TIMEOUT_MS = 10_000;

let fleet: ClaimStoreFleet;

beforeEach(() => {
  fleet = new ClaimStoreFleet();
});

afterEach(() => {
  fleet.close();
});

describe("createClaimStore", () => {
  it("lets exactly one of many concurrent claims hold a key", async () => {
    const stores = [
      await fleet.start("vm-a"),
      await fleet.start("vm-b"),
      await fleet.start("vm-c"),
    ];
    const claimants = [...stores, ...stores, ...stores, ...stores];
    const deadlineMs = CONCURRENT_CLAIM_DEADLINE_MS;
    const decisions = await Promise.all(
      claimants.map(({ claimStore }) =>
        claimStore.claim(
          fleet.request("key-1", { deadlineMs }),
          NEVER_ABORTED,
        )
      ),
    );
    const kinds = decisions.map((decision) => decision.kind);
    expect(kinds.filter((kind) => kind === "held").length).toEqual(1);
    expect(kinds.filter((kind) => kind === "outcomeUnknown").length)
      .toEqual(11);
  });

  it("refuses as not run what an event loop that runs late can't record in time", async () => {
    const { claimStore } = await fleet.start("vm-a");
    const claims = [1, 2, 3].map(() =>
      claimStore.claim(
        fleet.request("key-1", { deadlineMs: SHORT_DEADLINE_MS }),
        NEVER_ABORTED,
      )
    );
    const endsAtMs = performance.now() + SHORT_DEADLINE_MS;
    while (performance.now() < endsAtMs);
    const decisions = await Promise.all(claims);
    expect(decisions.map(({ kind }) => kind))
      .toEqual(["unavailable", "unavailable", "unavailable"]);
    // What was recorded too late counts as abandoned, so it doesn't stand in
    // the way of a repeat.
    const repeat = await claimStore.claim(
      fleet.request("key-1", { deadlineMs: CONCURRENT_CLAIM_DEADLINE_MS }),
      NEVER_ABORTED,
    );
    expect(repeat.kind).toEqual("held");
  });

  it("returns the recorded answer to a repeat on any VM", async () => {
    const a = await fleet.start("vm-a");
    const b = await fleet.start("vm-b");
    const held = expectHeld(
      await a.claimStore.claim(fleet.request("key-1"), NEVER_ABORTED),
    );
    const answer = makeAnswer('{"certificate":7}');
    expect(await a.claimStore.recordOutcome(held, { kind: "answered", answer }))
      .toEqual(true);
    for (const { claimStore } of [a, b]) {
      expect(await claimStore.claim(fleet.request("key-1"), NEVER_ABORTED))
        .toEqual({ kind: "answered", answer });
    }
  });

  it("makes a repeat wait for the answer of the running request", async () => {
    const a = await fleet.start("vm-a");
    const b = await fleet.start("vm-b");
    const held = expectHeld(
      await a.claimStore.claim(fleet.request("key-1"), NEVER_ABORTED),
    );
    const repeats = [a, b].map(({ claimStore }) =>
      claimStore.claim(fleet.request("key-1"), NEVER_ABORTED)
    );
    await sleep(100);
    const answer = makeAnswer("whole");
    await a.claimStore.recordOutcome(held, { kind: "answered", answer });
    for (const decision of await Promise.all(repeats)) {
      expect(decision).toEqual({ kind: "answered", answer });
    }
  });

  it("refuses other content, and reports an unknown outcome", async () => {
    const a = await fleet.start("vm-a");
    const held = expectHeld(
      await a.claimStore.claim(fleet.request("key-1"), NEVER_ABORTED),
    );
    const other = fleet.request("key-1", { content: "content-2" });
    expect((await a.claimStore.claim(other, NEVER_ABORTED)).kind).toEqual(
      "otherContent",
    );
    await a.claimStore.recordOutcome(held, { kind: "unknown" });
    expect(
      (await a.claimStore.claim(fleet.request("key-1"), NEVER_ABORTED)).kind,
    )
      .toEqual("outcomeUnknown");
  });

  it("frees a key whose request was not run", async () => {
    const a = await fleet.start("vm-a");
    const b = await fleet.start("vm-b");
    const held = expectHeld(
      await a.claimStore.claim(fleet.request("key-1"), NEVER_ABORTED),
    );
    await a.claimStore.recordOutcome(held, { kind: "notRun" });
    const again = await b.claimStore.claim(
      fleet.request("key-1"),
      NEVER_ABORTED,
    );
    expect(again.kind).toEqual("held");
  });

  it("keeps a key claimed if its answer was too large to store", async () => {
    const a = await fleet.start("vm-a");
    const held = expectHeld(
      await a.claimStore.claim(fleet.request("key-1"), NEVER_ABORTED),
    );
    const answer = makeAnswer("x".repeat(MAX_STORED_ANSWER_BYTES + 1));
    await a.claimStore.recordOutcome(held, { kind: "answered", answer });
    const repeat = await a.claimStore.claim(
      fleet.request("key-1"),
      NEVER_ABORTED,
    );
    if (repeat.kind !== "answered") throw new Error(repeat.kind);
    expect(repeat.answer.contentType).toEqual("application/problem+json");
    expect(repeat.answer.body).toEqual(expect.includes('"notRun":false'));
  });

  it("recovers from lost store responses by reading again", async () => {
    const a = await fleet.start("vm-a");
    fleet.store.responsesToLose = 3;
    const held = expectHeld(
      await a.claimStore.claim(fleet.request("key-1"), NEVER_ABORTED),
    );
    fleet.store.responsesToLose = 2;
    await a.claimStore.recordOutcome(held, { kind: "notRun" });
    const again = await a.claimStore.claim(
      fleet.request("key-1"),
      NEVER_ABORTED,
    );
    expect(again.kind).toEqual("held");
    const second = await a.claimStore.claim(
      fleet.request("key-1", { deadlineMs: 200 }),
      NEVER_ABORTED,
    );
    expect(second.kind).toEqual("outcomeUnknown");
  });

  it("refuses claims during a platform outage, and accepts them after it", async () => {
    const a = await fleet.start("vm-a");
    await fleet.start("vm-b");
    fleet.store.isDown = true;
    const refused = await a.claimStore.claim(
      fleet.request("key-1"),
      NEVER_ABORTED,
    );
    expect(refused.kind).toEqual("unavailable");
    fleet.store.isDown = false;
    const held = expectHeld(
      await a.claimStore.claim(fleet.request("key-1"), NEVER_ABORTED),
    );
    fleet.store.isDown = true;
    const recording = a.claimStore.recordOutcome(held, {
      kind: "answered",
      answer: makeAnswer("late"),
    });
    await sleep(100);
    fleet.store.isDown = false;
    expect(await recording).toEqual(true);
    const repeat = await a.claimStore.claim(
      fleet.request("key-1"),
      NEVER_ABORTED,
    );
    expect(repeat).toEqual({ kind: "answered", answer: makeAnswer("late") });
  });

  it("claims through a peer while it cannot reach the platform", async () => {
    const a = await fleet.start("vm-a");
    const b = await fleet.start("vm-b");
    a.connection.isDisconnected = true;
    const kinds: string[] = [];
    for (const key of ["key-1", "key-2", "key-3", "key-4"]) {
      const held = expectHeld(
        await a.claimStore.claim(fleet.request(key), NEVER_ABORTED),
      );
      await a.claimStore.recordOutcome(held, { kind: "unknown" });
      const repeat = await b.claimStore.claim(
        fleet.request(key),
        NEVER_ABORTED,
      );
      kinds.push(repeat.kind);
    }
    expect(kinds).toEqual([
      "outcomeUnknown",
      "outcomeUnknown",
      "outcomeUnknown",
      "outcomeUnknown",
    ]);
  });

  it("commits directly when the preferred VM doesn't reply", async () => {
    const stores = [await fleet.start("vm-a"), await fleet.start("vm-b")];
    fleet.peers.isHeldBack = () => true;
    for (const { claimStore } of stores) {
      for (const key of ["key-1", "key-2", "key-3", "key-4"]) {
        await claimStore.claim(
          fleet.request(key, { deadlineMs: 700 }),
          NEVER_ABORTED,
        );
      }
    }
    const held = [...fleet.store.objects.values()].flatMap((object) =>
      (object.value as { records?: unknown[] }).records ?? []
    );
    expect(held.length).toEqual(4);
  });

  it("returns the answer recorded by a VM that it can't connect to", async () => {
    const a = await fleet.start("vm-a");
    const b = await fleet.start("vm-b");
    a.network.isDisconnected = true;
    const held = expectHeld(
      await a.claimStore.claim(fleet.request("key-1"), NEVER_ABORTED),
    );
    const repeat = b.claimStore.claim(fleet.request("key-1"), NEVER_ABORTED);
    await sleep(100);
    const answer = makeAnswer("recorded while disconnected");
    await a.claimStore.recordOutcome(held, { kind: "answered", answer });
    expect(await repeat).toEqual({ kind: "answered", answer });
  });

  it("reports an unknown outcome when the holder's process has died", async () => {
    const a = await fleet.start("vm-a");
    const b = await fleet.start("vm-b");
    expectHeld(await a.claimStore.claim(fleet.request("key-1"), NEVER_ABORTED));
    const restarted = await fleet.restart("vm-a", "life-2");
    for (const { claimStore } of [b, restarted]) {
      const abort = new AbortController();
      const request = fleet.request("key-1", { deadlineMs: 600_000 });
      const waited = sleep(HANG_TIMEOUT_MS, { kind: "waited" }, {
        signal: abort.signal,
      });
      const decision = await Promise.race([
        claimStore.claim(request, NEVER_ABORTED),
        waited,
      ]);
      abort.abort();
      await waited.catch(() => undefined);
      expect(decision.kind).toEqual("outcomeUnknown");
    }
  });

  it("frees a claim that was committed after its attempt was given up", async () => {
    const a = await fleet.start("vm-a");
    const b = await fleet.start("vm-b");
    const heldBackTypes = new Set(["claimReply", "claimRequest"]);
    fleet.peers.isHeldBack = (message) => heldBackTypes.has(message.type);
    a.connection.isDisconnected = true;
    const refused = await a.claimStore.claim(
      fleet.request("key-1"),
      NEVER_ABORTED,
    );
    expect(refused.kind).toEqual("unavailable");
    const { held } = fleet.peers;
    expect(held.length).toBeGreaterThan(0);
    await fleet.peers.deliverHeld(held.map((_, index) => index));
    await sleep(50);
    expect(fleet.store.objects.size).toBeGreaterThan(1);
    fleet.peers.isHeldBack = () => false;
    a.connection.isDisconnected = false;
    const repeat = await b.claimStore.claim(
      fleet.request("key-1"),
      NEVER_ABORTED,
    );
    expect(repeat.kind).toEqual("held");
  });
});

describe("createClaimStore with an object store that applies updates late", () => {
  it("lets at most one request hold a key", async () => {
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
            return (await claimStore.claim(request, NEVER_ABORTED)).kind;
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

/** A delayed update fails at once with the kind "outcomeUnknown". */
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
        new PlatformError("outcomeUnknown", "No response in time"),
      );
    },
  };
}

describe("a claim store that meets an unexpected error", () => {
  for (const key of [LAYOUT_KEY, headKey(0)]) {
    it(`in updating ${key} holds that claim and the next`, async () => {
      const failingFleet = new ClaimStoreFleet({
        partitions: 1,
        wrap: (store) => failFirstUpdate(store, key),
      });
      try {
        const { claimStore } = await failingFleet.start("vm-a");
        const kinds: string[] = [];
        for (const idempotencyKey of ["key-1", "key-2"]) {
          const request = failingFleet.request(idempotencyKey);
          kinds.push((await claimStore.claim(request, NEVER_ABORTED)).kind);
        }
        expect(kinds).toEqual(["held", "held"]);
      } finally {
        failingFleet.close();
      }
    });
  }
});

/** Fails the first update of a key with an error that isn't the platform's. */
function failFirstUpdate(store: ObjectStore, failingKey: string): ObjectStore {
  let hasFailed = false;
  return {
    read: (key) => store.read(key),
    list: (prefix) => store.list(prefix),
    update: (key, value, expected) => {
      if (hasFailed || key !== failingKey) {
        return store.update(key, value, expected);
      }
      hasFailed = true;
      return Promise.reject(new TypeError("The value can't be encoded"));
    },
    remove: (key, version) => store.remove(key, version),
    watch: (request, signal) => store.watch(request, signal),
    listVms: () => store.listVms(),
  };
}
