import { expect } from "earl";
import { describe, it } from "node:test";
import { FramingCost } from "./framing_cost.js";

describe(FramingCost.name, () => {
  function isWasteful(chunks: number, bytes: number): boolean {
    const cost = new FramingCost();
    for (let n = 0; n < chunks; n++) cost.countSmallChunk(bytes);
    return cost.isWasteful;
  }

  // Guards against the end of connections of clients within the limits.
  it("isn't wasteful for few chunks or for chunks of 16 bytes", () => {
    expect(isWasteful(127, 1)).toEqual(false);
    expect(isWasteful(10_000, 16)).toEqual(false);
  });

  it("is wasteful for many chunks of a byte or two", () => {
    expect(isWasteful(128, 1)).toEqual(true);
    expect(isWasteful(128, 2)).toEqual(true);
  });
});
