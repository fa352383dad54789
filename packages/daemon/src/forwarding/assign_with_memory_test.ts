import { expect } from "earl";
import { describe, it } from "node:test";
import { MONOTONIC_CLOCK } from "../clock.js";
import { Metrics } from "../observability/metrics.js";
import { ServerDirectory } from "../placement/server_directory.js";
import { makeRateLimits } from "../rate_limits/testing/make_rate_limits.js";
import { ServerRegister } from "../register/server_register.js";
import { EngineMemories } from "../server_load/engine_memories.js";
import { makeReport } from "../testing/stage_samples.js";
import { RequestForwarder } from "./request_forwarder.js";
import {
  makeForwardEnvironment,
  makeRoutedRequest,
  makeSampleRoute,
  makeSampleTable,
  RecordingChannel,
  RecordingLogger,
} from "./testing/sample_forwarding.js";

const OBJECTIVE_MS = 400;
const ENGINE_TOKENS = 10_000;

/** Forwards a request; returns its client's channel and the servers called. */
async function forward(
  inputTokens: number,
  accountsMemory: boolean,
): Promise<
  { readonly channel: RecordingChannel; readonly calls: string[] }
> {
  const register = new ServerRegister(() => undefined);
  for (const id of ["a", "b"]) register.apply(makeReport(id), 0);
  const clock = MONOTONIC_CLOCK;
  const directory = new ServerDirectory({
    clock,
    register,
    rateLimits: makeRateLimits(),
    memories: new EngineMemories({
      isEnabled: () => accountsMemory,
      fetchReport: () =>
        Promise.resolve({
          usedTokens: 0,
          totalTokens: ENGINE_TOKENS,
          queuedRequests: 0,
          runningRequests: 0,
        }),
      inFlightOf: () => 0,
      connectionShare: () => 1,
      vmCount: () => 1,
      engineCount: () => 2,
      clock,
      metrics: new Metrics(),
      logger: new RecordingLogger(),
    }),
    limits: () => ({
      retries: { windowMs: 10_000, ratio: 1, slack: 10 },
      coldOverage: 1,
      coldSlack: 0,
    }),
    findService: () => undefined,
    vmCount: () => 1,
  });
  const calls: string[] = [];
  const environment = makeForwardEnvironment({
    directory,
    serverCaller: {
      start: ({ server }) => {
        calls.push(server.id);
        return { cancel: () => undefined, cancelIfNotSent: () => false };
      },
    },
  });
  const forwarder = new RequestForwarder({
    environment,
    table: () =>
      makeSampleTable([
        makeSampleRoute("chat", { kind: "stream", isResumable: true }, {
          objectiveMs: OBJECTIVE_MS,
        }),
      ]),
    configurationAgeMs: () => 0,
    shutdown: () => undefined,
  });
  const channel = new RecordingChannel();
  await forwarder.forward(
    makeRoutedRequest("/chat/x", {
      deadlineInMs: 500,
      prompt: {
        inputTokens,
        maxOutputTokens: 100,
        parts: [{ id: "p", tokens: inputTokens }],
      },
    }),
    channel,
  );
  return { channel, calls };
}

describe("a request that fits into the memory of no engine", () => {
  it("waits for a part of its objective, and is then refused as not run", async () => {
    const startedAtMs = MONOTONIC_CLOCK.nowMs();
    const { channel, calls } = await forward(2 * ENGINE_TOKENS, true);
    const waitedMs = MONOTONIC_CLOCK.nowMs() - startedAtMs;
    expect(calls).toEqual([]);
    expect(waitedMs >= OBJECTIVE_MS / 4).toEqual(true);
    const [reply] = channel.replies;
    expect(reply?.kind === "refused" && reply.reason).toEqual("serversFull");
    expect(reply?.kind === "refused" && (reply.retryAfterMs ?? 0) > 0)
      .toEqual(true);
  });

  it("doesn't keep requests that fit from an engine", async () => {
    const { calls } = await forward(ENGINE_TOKENS / 2, true);
    expect(calls.length >= 1).toEqual(true);
  });

  it("is sent as before where engines don't crash for lack of memory", async () => {
    const { calls } = await forward(2 * ENGINE_TOKENS, false);
    expect(calls.length >= 1).toEqual(true);
  });
});
