import { expect } from "earl";
import { describe, it } from "node:test";
import { runRandomFaults } from "./random_faults.js";

const DURATION_MS = 15_000;

describe("Under random faults", () => {
  for (const seed of [1, 2]) {
    it(`everything holds that must always hold, seed ${seed}`, async () => {
      const report = await runRandomFaults({ seed, durationMs: DURATION_MS });
      expect(report.violations).toEqual([]);
      expect(report.faults.length).toBeGreaterThan(10);
      expect(report.requestCount).toBeGreaterThan(500);
    });
  }
});
