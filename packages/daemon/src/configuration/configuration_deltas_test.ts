import type {
  Configuration,
  ConfigurationContent,
} from "@sassafrasstage/protocol/configuration";
import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { applyDeltas, diffConfigurations } from "./configuration_deltas.js";
import { makeSampleContent } from "./testing/sample_content.js";

const SEED = 20_261_203;

const sizes = fc.record({
  dataCentres: fc.uniqueArray(
    fc.constantFrom("palermo", "catania", "messina"),
    { minLength: 1 },
  ),
  serversPerDataCentre: fc.integer({ min: 0, max: 5 }),
  clientAccounts: fc.integer({ min: 0, max: 10 }),
  deadlineMs: fc.integer({ min: 10, max: 5000 }),
});

/** Ignores the order of entries, which has no meaning. */
function normalize(content: ConfigurationContent): unknown {
  const { register, rules } = content;
  const lists = [...Object.values(register), ...Object.values(rules)];
  return lists.map((list) => list.map((entry) => JSON.stringify(entry)).sort());
}

function numbered(contents: readonly ConfigurationContent[]): Configuration[] {
  return contents.map((content, index) => ({
    ...content,
    generation: index + 1,
  }));
}

describe("applyDeltas", () => {
  it("turns any older configuration into the newest one", () => {
    fc.assert(
      fc.property(fc.array(sizes, { minLength: 2, maxLength: 5 }), (list) => {
        const all = numbered(list.map(makeSampleContent));
        const deltas = all.slice(1).map((newer, index) =>
          diffConfigurations(all[index] ?? newer, newer)
        );
        for (const base of all.slice(0, -1)) {
          const result = applyDeltas(base, deltas);
          if (result.kind !== "applied") throw new Error(result.kind);
          const newest = all.at(-1);
          if (newest === undefined) throw new Error("No configuration");
          expect(result.configuration.generation).toEqual(newest.generation);
          expect(normalize(result.configuration)).toEqual(normalize(newest));
        }
      }),
      { seed: SEED, numRuns: 100 },
    );
  });

  it("rejects a gap, a broken reference and a malformed delta", () => {
    const [first, second, third] = numbered([
      makeSampleContent({ deadlineMs: 1001 }),
      makeSampleContent({ deadlineMs: 1002 }),
      makeSampleContent({ deadlineMs: 1003 }),
    ]);
    if (first === undefined || second === undefined || third === undefined) {
      throw new Error("No configuration");
    }
    const gap = diffConfigurations(second, third);
    expect(applyDeltas(first, [gap])).toEqual({ kind: "unfitting" });
    expect(applyDeltas(third, [gap])).toEqual({ kind: "unfitting" });
    const delta = diffConfigurations(first, second);
    const services = { upserted: [], removed: ["registry"] };
    expect(applyDeltas(first, [{ ...delta, services }]))
      .toEqual({ kind: "invalid" });
    expect(applyDeltas(first, [{ ...delta, services: 7 }]))
      .toEqual({ kind: "invalid" });
  });

  it("computes a small delta for a small change to a large configuration", () => {
    const content = makeSampleContent({
      serversPerDataCentre: 2350,
      clientAccounts: 28_000,
    });
    const older = { ...content, generation: 1 };
    const rules = { ...content.rules, dataCentresOut: ["palermo"] };
    const newer = { register: content.register, rules, generation: 2 };
    const delta = diffConfigurations(older, newer as Configuration);
    expect(JSON.stringify(delta).length).toBeLessThan(2000);
  });
});
