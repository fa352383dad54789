import { expect } from "earl";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { Cluster } from "@sassafrasstage/stand-ins/cluster/cluster";
import {
  CALLER_KEY,
  countRuns,
  DRAFT_TOKENS,
  withCluster,
} from "./callers_cluster.js";

const CALL = { pipeline: "draft", key: CALLER_KEY, isStreamed: true };
const WARM_UP_REQUESTS = 12;

async function warmUp(cluster: Cluster, url: string): Promise<void> {
  for (let index = 0; index < WARM_UP_REQUESTS; index += 1) {
    await cluster.caller.send(url, { ...CALL, input: { warmUp: index } });
  }
}

async function countEngineCallsInFlight(cluster: Cluster): Promise<number> {
  let inFlight = 0;
  for (const server of cluster.serversOf("generator")) {
    inFlight += (await server.record()).inFlight;
  }
  return inFlight;
}

describe("a streamed answer", () => {
  it("delivers every token, and then the complete answer", async () => {
    await withCluster(async (cluster, url) => {
      const result = await cluster.caller.send(url, { ...CALL, input: "a" });
      if (result.kind !== "answer") throw new Error(JSON.stringify(result));
      expect(result.tokens.length).toEqual(DRAFT_TOKENS);
      expect(result.answer.output).toEqual(result.tokens.join(""));
    });
  });

  it("is generated again from the start when the engine's stream breaks", async () => {
    await withCluster(async (cluster, url) => {
      await warmUp(cluster, url);
      const expected = await cluster.caller.send(url, {
        ...CALL,
        input: "b",
      });
      const [first] = cluster.serversOf("generator");
      await first?.setFaults({ breakRatio: 1, breakAfterTokens: 3 });
      const results = [];
      for (let index = 0; index < 4; index += 1) {
        results.push(
          await cluster.caller.send(url, { ...CALL, input: "b" }),
        );
      }
      if (expected.kind !== "answer") throw new Error(JSON.stringify(expected));
      let retried = 0;
      for (const result of results) {
        if (result.kind !== "answer") throw new Error(JSON.stringify(result));
        expect(result.answer.output).toEqual(expected.answer.output);
        if (result.answer.stages.some((stage) => stage.attempts > 1)) {
          retried += 1;
        }
      }
      expect(retried > 0).toEqual(true);
    });
  });

  it("is canceled at a warm engine when the caller disconnects", async () => {
    await withCluster(async (cluster, url) => {
      await warmUp(cluster, url);
      for (const server of cluster.serversOf("generator")) {
        await server.setFaults({ slowFactor: 50 });
      }
      const caller = new AbortController();
      const runsBefore = await countRuns(cluster, "generator");
      const pendingResult = cluster.caller.send(url, {
        ...CALL,
        input: "c",
        signal: caller.signal,
      });
      while (await countRuns(cluster, "generator") === runsBefore) {
        await sleep(10);
      }
      caller.abort();
      expect((await pendingResult).kind).toEqual("broken");
      // Canceling ends the slowed call at once; otherwise it would take over 3 s.
      const endAtMs = performance.now() + 10_000;
      while (await countEngineCallsInFlight(cluster) > 0) {
        if (performance.now() > endAtMs) throw new Error("Call not canceled");
        await sleep(20);
      }
    });
  });
});
