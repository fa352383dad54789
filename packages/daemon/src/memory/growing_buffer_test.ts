import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { GrowingBuffer } from "./growing_buffer.js";

describe("GrowingBuffer", () => {
  it("collects the same bytes however they are cut", () => {
    fc.assert(fc.property(
      fc.array(fc.uint8Array({ maxLength: 2000 }), { maxLength: 50 }),
      (parts) => {
        const buffer = new GrowingBuffer();
        for (const part of parts) buffer.append(Buffer.from(part));
        const whole = Buffer.concat(parts);
        expect(buffer.capacity <= 2 * whole.length + 1024).toEqual(true);
        expect(buffer.take().equals(whole)).toEqual(true);
        expect(buffer.length).toEqual(0);
      },
    ));
  });

  it("occupies no more than the size that is known", () => {
    const buffer = new GrowingBuffer(5000);
    for (let n = 0; n < 5000; n++) buffer.append(Buffer.alloc(1));
    expect(buffer.capacity).toEqual(5000);
  });
});
