import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { PartQueue } from "./part_queue.js";
import { MAX_RELAYED_CHUNK_BYTES } from "./relayed_call_limits.js";

const SEED = 20_261_205;

function takeAll(queue: PartQueue): Buffer[] {
  const parts: Buffer[] = [];
  for (let p = queue.shift(); p !== undefined; p = queue.shift()) parts.push(p);
  return parts;
}

describe("PartQueue", () => {
  it("keeps all bytes in order, in parts that fit into a frame", () => {
    const part = fc.uint8Array({
      minLength: 1,
      maxLength: MAX_RELAYED_CHUNK_BYTES,
      size: "max",
    });
    fc.assert(
      fc.property(
        fc.array(fc.tuple(part, fc.boolean()), { maxLength: 20 }),
        (steps) => {
          const queue = new PartQueue();
          const taken: Buffer[] = [];
          for (const [bytes, isTaken] of steps) {
            queue.push(Buffer.from(bytes));
            const next = isTaken ? queue.shift() : undefined;
            if (next !== undefined) taken.push(next);
          }
          taken.push(...takeAll(queue));
          const whole = Buffer.concat(steps.map(([bytes]) => bytes));
          expect(Buffer.concat(taken).equals(whole)).toEqual(true);
          expect(taken.every((p) => p.length <= MAX_RELAYED_CHUNK_BYTES))
            .toEqual(true);
          expect(queue.bytes).toEqual(0);
          expect(queue.blocks).toEqual(0);
        },
      ),
      { seed: SEED, numRuns: 50 },
    );
  });

  it("doesn't hold a block for each small part", () => {
    const queue = new PartQueue();
    for (let n = 0; n < 100_000; n++) queue.push(Buffer.from("data: 1\n\n"));
    expect(queue.bytes).toEqual(900_000);
    expect(queue.blocks).toBeLessThan(100);
  });

  it("doesn't copy a part that doesn't wait", () => {
    const queue = new PartQueue();
    const part = Buffer.from("data: 1\n\n");
    queue.push(part);
    expect(queue.shift() === part).toEqual(true);
  });
});
