import { expect } from "earl";
import { before, describe, it } from "node:test";
import { type RandomFaultsReport, runRandomFaults } from "./random_faults.js";

const DURATION_MS = 15_000;
/** Matches the violations of `findColdOverloads`. */
const OVERLOAD = / overloaded at /;

for (const seed of [1, 2]) {
  describe(`Under random faults, seed ${seed}`, () => {
    let report: RandomFaultsReport;

    before(async () => {
      report = await runRandomFaults({ seed, durationMs: DURATION_MS });
    });

    it(`happens enough to prove something, seed ${seed}`, () => {
      expect(report.faults.length).toBeGreaterThan(10);
      expect(report.requestCount).toBeGreaterThan(500);
    });

    it(`everything but the cold limit holds, seed ${seed}`, () => {
      expect(report.violations.filter((text) => !OVERLOAD.test(text)))
        .toEqual([]);
    });

    it(`the cold limit holds, seed ${seed}`, (test) => {
      for (const trace of report.overloadTraces) test.diagnostic(trace);
      expect(report.violations.filter((text) => OVERLOAD.test(text)))
        .toEqual([]);
    });
  });
}
