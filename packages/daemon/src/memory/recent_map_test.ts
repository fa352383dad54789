import { expect } from "earl";
import { describe, it } from "node:test";
import { RecentMap } from "./recent_map.js";

describe("RecentMap", () => {
  it("forgets the entry that was used least recently", () => {
    const map = new RecentMap<string, number>(2);
    map.set("a", 1);
    map.set("b", 2);
    expect(map.get("a")).toEqual(1);
    map.set("c", 3);
    expect(map.get("b")).toEqual(undefined);
    expect([...map.values()]).toEqual([1, 3]);
    expect(map.size).toEqual(2);
  });
});
