import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { createLogger } from "../observability/logger.js";
import { Metrics } from "../observability/metrics.js";
import { AdoptedConfiguration } from "./adopted_configuration.js";
import {
  joinConfiguration,
  splitConfiguration,
} from "./configuration_parts.js";
import { makeSampleContent } from "./testing/sample_content.js";

const SEED = 20_261_203;

describe("AdoptedConfiguration", () => {
  it("never decreases its generation, whatever the order of arrival", () => {
    const content = makeSampleContent();
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 1, max: 50 })), (arrivals) => {
        const seen: number[] = [];
        const adopted = new AdoptedConfiguration({
          metrics: new Metrics(),
          logger: createLogger("error", {}),
          onAdopted: (generation) => seen.push(generation),
        });
        for (const generation of arrivals) {
          adopted.adopt({ ...content, generation }, "neighbour");
        }
        expect(seen).toEqual([...new Set(seen)].sort((a, b) => a - b));
        expect(adopted.generation).toEqual(Math.max(0, ...arrivals));
      }),
      { seed: SEED, numRuns: 200 },
    );
  });
});

describe("splitConfiguration", () => {
  it("produces parts that join to the same content", () => {
    const sizes = fc.record({
      dataCentres: fc.uniqueArray(
        fc.constantFrom("palermo", "catania", "messina"),
        { minLength: 1 },
      ),
      serversPerDataCentre: fc.integer({ min: 0, max: 20 }),
      clientAccounts: fc.integer({ min: 0, max: 50 }),
    });
    fc.assert(
      fc.property(sizes, (size) => {
        const content = makeSampleContent(size);
        const joined = joinConfiguration(splitConfiguration(content));
        expect(joined).toEqual(content);
      }),
      { seed: SEED, numRuns: 50 },
    );
  });
});
