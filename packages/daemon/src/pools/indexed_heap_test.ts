import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { IndexedHeap } from "./indexed_heap.js";

interface Entry {
  key: number;
}

describe("IndexedHeap", () => {
  it("returns the smallest item after any additions, changes and removals", () => {
    const step = fc.tuple(
      fc.constantFrom("add", "change", "remove", "take"),
      fc.nat(20),
      fc.nat(1000),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
        const heap = new IndexedHeap<Entry>((a, b) => a.key - b.key);
        const model: Entry[] = [];
        for (const [kind, index, key] of steps) {
          const entry = model[index % Math.max(1, model.length)];
          if (kind === "add" || entry === undefined) {
            const added = { key };
            model.push(added);
            heap.add(added);
          } else if (kind === "change") {
            entry.key = key;
            heap.add(entry);
          } else {
            const removed = kind === "remove" ? entry : heap.first() ?? entry;
            if (kind === "remove") heap.remove(entry);
            else heap.takeFirst();
            model.splice(model.indexOf(removed), 1);
          }
          const smallestKey = Math.min(...model.map((item) => item.key));
          expect(heap.first()?.key ?? Infinity).toEqual(smallestKey);
          expect(heap.size).toEqual(model.length);
        }
      }),
      { seed: 1 },
    );
  });
});
