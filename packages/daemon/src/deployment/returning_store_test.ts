import {
  type ObjectListing,
  type StoredObject,
  toStoreEra,
  type WatchEvent,
} from "@sassafrasstage/protocol/platform_objects";
import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { ObjectMirror } from "./object_mirror.js";
import { applyWatch } from "./testing/apply_watch.js";

const KEYS = ["objects/a", "objects/b", "objects/c"];
const MIRROR_COUNT = 3;
const RUNS = 1000;

interface StoreState {
  readonly revision: number;
  readonly objects: ReadonlyMap<string, StoredObject>;
  readonly events: readonly { revision: number; event: WatchEvent }[];
}

/** A store that can come back from an earlier state. */
class ReturningStore {
  era = 1;
  #state: StoreState = { revision: 1, objects: new Map(), events: [] };
  readonly #earlier: StoreState[] = [];
  #lastValue = 0;

  get state(): StoreState {
    return this.#state;
  }

  write(key: string): void {
    this.#lastValue += 1;
    this.put(key, this.#lastValue);
  }

  put(key: string, value: number): void {
    const version = this.#state.revision + 1;
    const object = { key, version, value };
    const objects = new Map(this.#state.objects).set(key, object);
    this.#change(objects, { kind: "updated", object });
  }

  delete(key: string): void {
    const objects = new Map(this.#state.objects);
    if (!objects.delete(key)) return;
    const version = this.#state.revision + 1;
    this.#change(objects, { kind: "deleted", key, version });
  }

  returnFrom(age: number): void {
    const earlier = this.#earlier.at(-age);
    if (earlier === undefined) return;
    this.#earlier.length -= Math.min(age, this.#earlier.length);
    this.#state = earlier;
    this.era += 1;
  }

  list(): ObjectListing {
    const { revision, objects } = this.#state;
    return {
      era: toStoreEra(this.era),
      revision,
      objects: [...objects.values()],
    };
  }

  /** Lists if the store doesn't have the mirror's revision in its era. */
  update(mirror: ObjectMirror): void {
    const { revision, events } = this.#state;
    const from = mirror.watchPosition?.after;
    if (mirror.era !== this.era || from === undefined || from > revision) {
      mirror.applyListing(this.list());
      return;
    }
    applyWatch(mirror, {
      era: toStoreEra(this.era),
      revision,
      events: events.filter((entry) => entry.revision > from)
        .map(({ event }) => event),
    });
  }

  #change(objects: StoreState["objects"], event: WatchEvent): void {
    this.#earlier.push(this.#state);
    const revision = this.#state.revision + 1;
    const events = [...this.#state.events, { revision, event }];
    this.#state = { revision, objects, events };
  }
}

type Step =
  | { readonly kind: "write" | "delete"; readonly key: number }
  | { readonly kind: "return"; readonly age: number }
  | { readonly kind: "update" | "keepListing"; readonly mirror: number }
  | { readonly kind: "copy"; readonly from: number; readonly to: number };

const key = fc.nat(KEYS.length - 1);
const mirror = fc.nat(MIRROR_COUNT - 1);
const STEPS: fc.Arbitrary<Step[]> = fc.array(
  fc.oneof(
    fc.record({ kind: fc.constantFrom("write", "delete"), key }),
    fc.record({
      kind: fc.constant("return" as const),
      age: fc.integer({ min: 1, max: 6 }),
    }),
    fc.record({ kind: fc.constantFrom("update", "keepListing"), mirror }),
    fc.record({ kind: fc.constant("copy" as const), from: mirror, to: mirror }),
  ),
  { maxLength: 60, size: "max" },
);

interface Run {
  readonly store: ReturningStore;
  readonly mirrors: readonly ObjectMirror[];
}

/** Listings that were kept arrive late, with the mirror's next update. */
function play(
  steps: readonly Step[],
  mirrors: readonly ObjectMirror[],
  afterStep: () => void = () => undefined,
): Run {
  const store = new ReturningStore();
  const late = new Map<ObjectMirror, ObjectListing>();
  for (const step of steps) {
    switch (step.kind) {
      case "write":
        store.write(KEYS[step.key] ?? "");
        break;
      case "delete":
        store.delete(KEYS[step.key] ?? "");
        break;
      case "return":
        store.returnFrom(step.age);
        break;
      case "keepListing": {
        const target = mirrors[step.mirror];
        if (target !== undefined) late.set(target, store.list());
        break;
      }
      case "update": {
        const target = mirrors[step.mirror];
        if (target === undefined) break;
        store.update(target);
        const listing = late.get(target);
        if (listing !== undefined) target.applyListing(listing);
        late.delete(target);
        break;
      }
      case "copy": {
        const copy = mirrors[step.from]?.copy();
        if (copy !== undefined) mirrors[step.to]?.applyCopy(copy);
      }
    }
    afterStep();
  }
  return { store, mirrors };
}

function sortByKey(objects: Iterable<StoredObject>): StoredObject[] {
  return [...objects].sort((a, b) => a.key < b.key ? -1 : 1);
}

describe("mirrors of a store that comes back from older copies", () => {
  it("end with exactly what the store has", () => {
    fc.assert(
      fc.property(STEPS, (steps) => {
        const reported = new Map<ObjectMirror, Map<string, unknown>>();
        const mirrors = Array.from({ length: MIRROR_COUNT }, () => {
          const values = new Map<string, unknown>();
          const created = new ObjectMirror("objects/", {
            onUpdated: (object) => values.set(object.key, object.value),
            onDeleted: (object) => values.delete(object.key),
          });
          reported.set(created, values);
          return created;
        });
        const { store } = play(steps, mirrors);
        const expected = sortByKey(store.state.objects.values());
        for (const each of mirrors) {
          store.update(each);
          each.dropUnconfirmed(each.era);
          expect(sortByKey(each.objects)).toEqual(expected);
          expect(reported.get(each)).toEqual(
            new Map(expected.map(({ key: name, value }) => [name, value])),
          );
        }
      }),
      { numRuns: RUNS },
    );
  });

  it("never go back to a lower generation, and get the highest from each other", () => {
    fc.assert(
      fc.property(STEPS, (steps) => {
        const mirrors = Array.from(
          { length: MIRROR_COUNT },
          () =>
            new ObjectMirror("objects/", {
              onUpdated: () => undefined,
              onDeleted: () => undefined,
              generationOf: ({ value }) => value as number,
            }),
        );
        const highest = mirrors.map(() => new Map<string, number>());
        function check(): void {
          for (const [index, each] of mirrors.entries()) {
            const known = new Map(each.objects.map((o) => [o.key, o.value]));
            for (const [name, generation] of highest[index] ?? []) {
              expect((known.get(name) as number) >= generation).toEqual(true);
            }
            for (const [name, value] of known) {
              highest[index]?.set(name, value as number);
            }
          }
        }
        play(steps, mirrors, check);
        const [first, second] = mirrors;
        const copy = first?.copy();
        if (copy !== undefined) second?.applyCopy(copy);
        check();
        for (const [name, generation] of highest[0] ?? []) {
          if (copy === undefined) break;
          expect((highest[1]?.get(name) ?? -1) >= generation).toEqual(true);
        }
      }),
      { numRuns: RUNS },
    );
  });
});
