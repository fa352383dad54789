import type { StoredObject } from "@sassafrasstage/protocol/platform_objects";
import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { MirrorFleet, type WatchAnswer } from "./testing/mirror_fleet.js";
import { type DeletionVersion, ModelStore } from "./testing/model_store.js";

const KEYS = ["objects/a", "objects/b", "objects/c"];
const FLEET_SIZE = 3;
const DEFAULT_RUNS = 3000;
const SEED = 63;
/** More plays, with other seeds: `MIRROR_RUNS=200000 MIRROR_SEED=7 node …`. */
const { MIRROR_RUNS, MIRROR_SEED } = process.env;

type Step =
  | { readonly kind: "put" | "delete"; readonly key: string }
  | { readonly kind: "changeElsewhere" | "deliverAll" }
  | { readonly kind: "list" | "beginWatch"; readonly vm: number }
  | {
    readonly kind: "answerWatch";
    readonly vm: number;
    readonly answer: WatchAnswer;
  }
  | { readonly kind: "sendCopy"; readonly from: number; readonly to: number }
  | { readonly kind: "deliver"; readonly message: number };

const key = fc.constantFrom(...KEYS);
const vm = fc.nat(FLEET_SIZE - 1);
const STEP: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant("put" as const), key }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant("delete" as const), key }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constantFrom("changeElsewhere" as const, "deliverAll" as const),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("list" as const), vm }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant("beginWatch" as const), vm }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("answerWatch" as const),
      vm,
      answer: fc.constantFrom("complete" as const, "deaf" as const),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("sendCopy" as const),
      from: vm,
      to: vm,
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant("deliver" as const),
      message: fc.nat(9),
    }),
  },
);

function take(step: Step, store: ModelStore, fleet: MirrorFleet): void {
  switch (step.kind) {
    case "put":
      store.put(step.key);
      return;
    case "delete":
      store.delete(step.key);
      return;
    case "changeElsewhere":
      store.changeElsewhere();
      return;
    case "list":
      fleet.list(step.vm);
      return;
    case "beginWatch":
      fleet.beginWatch(step.vm);
      return;
    case "answerWatch":
      fleet.answerWatch(step.vm, step.answer);
      return;
    case "sendCopy":
      fleet.sendCopy(step.from, step.to);
      return;
    case "deliver":
      fleet.deliver(step.message);
      return;
    case "deliverAll":
      fleet.deliverAll();
  }
}

function sortByKey(objects: Iterable<StoredObject>): StoredObject[] {
  return [...objects].sort((a, b) => a.key < b.key ? -1 : 1);
}

/** Returns the revision of each mirror; undefined before its first listing. */
function check(
  store: ModelStore,
  fleet: MirrorFleet,
  previous: readonly (number | undefined)[],
): (number | undefined)[] {
  return Array.from({ length: fleet.size }, (_, index) => {
    const { completeRevision: revision, objects } = fleet.mirror(index);
    if (revision === undefined) {
      expect(previous[index]).toEqual(undefined);
      return undefined;
    }
    expect(revision >= (previous[index] ?? 0)).toEqual(true);
    const expected = sortByKey(store.stateAt(revision).values());
    expect(sortByKey(objects)).toEqual(expected);
    expect(sortByKey(fleet.reported(index).values())).toEqual(expected);
    return revision;
  });
}

/** Two watches, as the first may be a held-up one that covers less. */
function watchToTheEnd(fleet: MirrorFleet): void {
  for (let index = 0; index < fleet.size; index++) {
    fleet.answerWatch(index, "complete");
    fleet.deliverAll();
    fleet.beginWatch(index);
    fleet.answerWatch(index, "complete");
    fleet.deliverAll();
  }
}

describe("mirrors whose news comes late and in any order", () => {
  const deletionVersions: DeletionVersion[] = ["ownRevision", "lastUpdate"];
  for (const deletionVersion of deletionVersions) {
    // Guards against a removed server being used again, and against a change
    // being skipped for good, whichever way the news of it comes.
    it(`hold what the store held at one revision (${deletionVersion})`, () => {
      fc.assert(
        fc.property(fc.array(STEP, { maxLength: 60, size: "max" }), (steps) => {
          const store = new ModelStore(deletionVersion);
          const fleet = new MirrorFleet(store, FLEET_SIZE);
          let revisions = check(store, fleet, []);
          for (const step of steps) {
            take(step, store, fleet);
            revisions = check(store, fleet, revisions);
          }
          watchToTheEnd(fleet);
          check(store, fleet, revisions);
          const expected = sortByKey(store.stateAt(store.revision).values());
          for (const [index, revision] of revisions.entries()) {
            if (revision === undefined) continue;
            expect(sortByKey(fleet.mirror(index).objects)).toEqual(expected);
          }
        }),
        {
          numRuns: Number(MIRROR_RUNS ?? DEFAULT_RUNS),
          seed: Number(MIRROR_SEED ?? SEED),
        },
      );
    });
  }
});
