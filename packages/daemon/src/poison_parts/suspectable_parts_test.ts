import { expect } from "earl";
import { describe, it } from "node:test";
import { suspectableParts } from "./suspectable_parts.js";

function partsOf(...ids: string[]): string[] {
  return [...suspectableParts({
    inputTokens: 100,
    maxOutputTokens: 10,
    parts: ids.map((id) => ({ id, tokens: 10 })),
  })];
}

describe("suspectableParts", () => {
  it("omits the last part, which no other request has", () => {
    expect(partsOf("a", "b", "own")).toEqual(["a", "b"]);
    expect(partsOf("own")).toEqual([]);
    expect(suspectableParts(undefined)).toEqual([]);
  });

  it("bounds what is remembered of a request", () => {
    const ids = Array.from({ length: 100 }, (_, index) => `part-${index}`);
    expect(partsOf(...ids).length).toEqual(64);
    expect(partsOf("a".repeat(65), "b", "own")).toEqual(["b"]);
  });

  it("names a part that comes twice once", () => {
    expect(partsOf("a", "a", "own")).toEqual(["a"]);
  });
});
