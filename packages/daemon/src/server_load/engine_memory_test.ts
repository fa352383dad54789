import { expect } from "earl";
import { describe, it } from "node:test";
import type { PromptShape } from "../forwarding/routed_request.js";
import {
  EngineMemory,
  memoryNeedOf,
  type OthersExpectation,
} from "./engine_memory.js";
import {
  type EngineFleetOptions,
  simulateEngines,
} from "./testing/simulated_engines.js";

const TOTAL_TOKENS = 100_000;
/** The part that is never used for requests. */
const USABLE_TOKENS = 92_000;
const NO_OTHERS: OthersExpectation = {
  requests: 0,
  requestsPerMs: 0,
  tokensPerRequest: 0,
  tokensRms: 0,
  statedRequests: 0,
};

function makePrompt(ownId: string): PromptShape {
  return {
    inputTokens: 15_000,
    maxOutputTokens: 1000,
    parts: [{ id: "shared", tokens: 10_000 }, { id: ownId, tokens: 5000 }],
  };
}

function freeTokens(
  memory: EngineMemory,
  others: Partial<OthersExpectation> = {},
  nowMs = 0,
): number {
  return memory.freeTokens({
    need: undefined,
    totalTokens: TOTAL_TOKENS,
    others: { ...NO_OTHERS, ...others },
  }, nowMs);
}

describe("EngineMemory", () => {
  it("counts shared parts once, and what may still be generated", () => {
    const memory = new EngineMemory();
    memory.place(memoryNeedOf(makePrompt("a")), 0);
    expect(freeTokens(memory)).toEqual(USABLE_TOKENS - 16_000);
    const second = memory.place(memoryNeedOf(makePrompt("b")), 0);
    expect(freeTokens(memory)).toEqual(USABLE_TOKENS - 22_000);
    memory.release(second);
    expect(freeTokens(memory)).toEqual(USABLE_TOKENS - 16_000);
  });

  it("counts what a report shows of others' requests, as long as it is recent", () => {
    const memory = new EngineMemory();
    memory.recordReport({
      usedTokens: 50_000,
      totalTokens: TOTAL_TOKENS,
      queuedRequests: 1,
      runningRequests: 4,
    }, { nowMs: 1000, tokensPerRequest: 8000, outputTokens: 500 });
    expect(freeTokens(memory, {}, 1000))
      .toEqual(USABLE_TOKENS - 50_000 - 8000 - 4 * 500);
    expect(freeTokens(memory, {}, 6000)).toEqual(USABLE_TOKENS);
  });

  it("doesn't count this VM's requests twice when a report shows them", () => {
    const memory = new EngineMemory();
    memory.place(memoryNeedOf(makePrompt("a")), 0);
    memory.recordReport({
      usedTokens: 15_000,
      totalTokens: TOTAL_TOKENS,
      queuedRequests: 0,
      runningRequests: 1,
    }, { nowMs: 2000, tokensPerRequest: 8000, outputTokens: 500 });
    expect(freeTokens(memory, {}, 2000)).toEqual(USABLE_TOKENS - 16_000);
  });

  it("reserves for requests that other VMs may have placed unseen", () => {
    const others = { tokensPerRequest: 5000, tokensRms: 5000 };
    expect(freeTokens(new EngineMemory(), { ...others, requests: 4 }))
      .toEqual(USABLE_TOKENS - 4 * 5000 - 2.5 * 2 * 5000);
    expect(freeTokens(new EngineMemory(), { ...others, statedRequests: 7 }))
      .toEqual(USABLE_TOKENS - 7 * 5000);
  });
});

describe("engines behind 24 VMs after one of them has crashed", () => {
  const FLEET: EngineFleetOptions = {
    seed: 1,
    vmCount: 24,
    engineCount: 12,
    requestsPerSecond: 20,
    durationMs: 16_000,
    crashAtMs: 10_000,
    statesLoad: true,
    accountsMemory: true,
  };

  it("don't crash one after the other, as they do without accounting", async () => {
    const before = await simulateEngines({
      ...FLEET,
      statesLoad: false,
      accountsMemory: false,
    });
    const after = await simulateEngines(FLEET);
    expect(before.memoryCrashes >= 8).toEqual(true);
    expect(after.memoryCrashes <= 2).toEqual(true);
    expect(after.completed > before.completed).toEqual(true);
  });

  it("don't get the crashed engine's load in full", async () => {
    for (const seed of [1, 2, 3]) {
      const { resumedAfterCrash, largestShareAfterCrash } =
        await simulateEngines({ ...FLEET, seed });
      expect(resumedAfterCrash >= 5).toEqual(true);
      expect(largestShareAfterCrash <= resumedAfterCrash / 2).toEqual(true);
    }
  });

  it("refuse in a burst what fits nowhere instead of crashing", async () => {
    const burst = { ...FLEET, requestsPerSecond: 26 };
    const before = await simulateEngines({ ...burst, accountsMemory: false });
    const after = await simulateEngines(burst);
    expect(after.memoryCrashes < before.memoryCrashes / 2).toEqual(true);
    expect(after.completed > before.completed).toEqual(true);
  });
});
