import { expect } from "earl";
import { describe, it } from "node:test";
import { findCapacities, findTotalCapacity } from "./capacity.js";
import { makeConsorzio } from "./consorzio.js";
import { makeStratos } from "./stratos.js";

describe("findCapacities", () => {
  it("counts slots over work per mean request", () => {
    const deployment = makeConsorzio();
    const shipping = findCapacities(deployment)
      .find((entry) => entry.service === "shipping");
    // 4 servers of 4 slots; 15 in 100 requests take 80 ms.
    expect(shipping?.requestsPerSecond).toEqual(16 * 1000 / (0.15 * 80));
  });

  it("finds the model engines the tightest, at some hundred a second", () => {
    for (const deployment of [makeConsorzio(), makeStratos()]) {
      const capacity = findTotalCapacity(deployment);
      expect(capacity >= 80 && capacity <= 300).toEqual(true);
    }
  });
});
