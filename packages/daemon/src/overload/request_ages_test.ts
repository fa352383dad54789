import { expect } from "earl";
import { describe, it } from "node:test";
import { RequestAges } from "./request_ages.js";

describe("RequestAges", () => {
  it("takes the shorter time of a returning client as its age", () => {
    const ages = new RequestAges();
    for (let n = 0; n < 20; n++) ages.ageMs("note", 10_000);
    expect(ages.ageMs("note", 8800)).toEqual(1200);
    expect(ages.ageMs("note", 10_000)).toEqual(0);
    expect(ages.ageMs("draft", 8800)).toEqual(0);
  });

  it("doesn't take clients that wait differently long for returning ones", () => {
    const ages = new RequestAges();
    for (let n = 0; n < 400; n++) {
      expect(ages.ageMs("note", 2000 + (n * 397) % 6000)).toEqual(0);
    }
  });

  it("keeps telling returning clients apart when they are the majority", () => {
    const ages = new RequestAges();
    for (let n = 0; n < 300; n++) {
      const ageMs = n % 6 === 0 ? 0 : 500 + (n * 31) % 4000;
      const estimate = ages.ageMs("note", 10_000 - ageMs);
      if (n > 50) expect(estimate).toEqual(ageMs);
    }
  });

  it("assumes that a request is new if its client states no time", () => {
    expect(new RequestAges().ageMs("note", undefined)).toEqual(0);
  });
});
