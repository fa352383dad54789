import { expect } from "earl";
import { describe, it } from "node:test";
import { computeCapacities, computeTotalCapacity } from "./capacity.js";
import { makeConsorzio } from "./consorzio.js";
import { makeStratos } from "./stratos.js";

describe("computeCapacities", () => {
  it("divides the slots by the mean work per request", () => {
    const deployment = makeConsorzio();
    const shipping = computeCapacities(deployment)
      .find((entry) => entry.service === "shipping");
    // 4 servers with 4 slots each; 15% of the requests take 80 ms.
    expect(shipping?.requestsPerSecond).toEqual(16 * 1000 / (0.15 * 80));
  });

  it("computes a total capacity of 80 to 300 requests per second", () => {
    for (const deployment of [makeConsorzio(), makeStratos()]) {
      const capacity = computeTotalCapacity(deployment);
      expect(capacity >= 80 && capacity <= 300).toEqual(true);
    }
  });
});
