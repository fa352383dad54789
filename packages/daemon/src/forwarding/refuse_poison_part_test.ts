import {
  type AttemptId,
  type DataCentreName,
  toId,
} from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { describe, it } from "node:test";
import { MONOTONIC_CLOCK } from "../clock.js";
import { LatencyRecords } from "../observability/latency_records.js";
import { createLogger } from "../observability/logger.js";
import { Metrics } from "../observability/metrics.js";
import { ServerDirectory } from "../placement/server_directory.js";
import type { Admission, PoisonParts } from "../poison_parts/poison_parts.js";
import { makeRateLimits } from "../rate_limits/testing/make_rate_limits.js";
import { ServerRegister } from "../register/server_register.js";
import { LinkedVm } from "../stage_graphs/testing/linked_vms.js";
import { StreamVersions } from "../stream_versions/stream_versions.js";
import { ENCODER, makeReport } from "../testing/stage_samples.js";
import type { ForwardContext } from "./forward_context.js";
import { forwardStream } from "./forward_stream.js";
import { RequestLifetime } from "./request_lifetime.js";
import { RouteStatistics } from "./route_statistics.js";
import type { LocalReply } from "./routed_request.js";

const RETRY_AFTER_MS = 7000;
const REFUSED = { kind: "refused", retryAfterMs: RETRY_AFTER_MS };
const ADMITTED = { kind: "admitted" };

interface Judging {
  /** One for each time the request is judged; the last one holds. */
  readonly admissions: readonly object[];
  readonly mayRetry: boolean;
}

interface Forwarded {
  readonly replies: readonly LocalReply[];
  readonly callCount: number;
  readonly stageRunCount: number;
}

/** Forwards a request to servers that crash under each call. */
async function forward(judging: Judging): Promise<Forwarded> {
  const replies: LocalReply[] = [];
  let judgedCount = 0;
  let callCount = 0;
  let stageRunCount = 0;
  const clock = MONOTONIC_CLOCK;
  const metrics = new Metrics();
  const logger = createLogger("error", {});
  const rateLimits = makeRateLimits();
  const register = new ServerRegister(() => undefined);
  for (const id of ["a", "b", "c"]) register.apply(makeReport(id), 0);
  const poisonParts: Partial<PoisonParts> = {
    admit: () => {
      const { admissions } = judging;
      const admission = admissions[judgedCount] ?? admissions.at(-1);
      judgedCount += 1;
      return admission as Admission;
    },
    observe: () => ({
      recordEvent: () => undefined,
      recordComplete: () => undefined,
      recordCrash: () => undefined,
      end: () => undefined,
    }),
    mayRetry: () => judging.mayRetry,
  };
  const retries = { windowMs: 10_000, ratio: 1, slack: 10 };
  const context: ForwardContext = {
    environment: {
      directory: new ServerDirectory({
        clock,
        rateLimits,
        register,
        limits: () => ({ retries, coldOverage: 1, coldSlack: 0 }),
        findService: () => undefined,
        vmCount: () => 1,
      }),
      serverCaller: {
        start: (_call, listener) => {
          callCount += 1;
          setImmediate(() => {
            listener.onSend();
            listener.onFailure({
              kind: "broken",
              detail: "ECONNRESET",
              remainingConnections: "none",
            });
          });
          return { cancel: () => undefined, cancelIfNotSent: () => false };
        },
      },
      graphs: {
        run: () => {
          stageRunCount += 1;
          return {
            outcome: Promise.resolve({ kind: "ready", results: [] }),
            release: () => undefined,
          };
        },
      } as never,
      rateLimits,
      streamVersions: new StreamVersions({
        network: new LinkedVm("vm-1"),
        register,
        clock,
        metrics,
        logger,
      }),
      poisonParts: poisonParts as PoisonParts,
      routeStatistics: new RouteStatistics(),
      dataCentre: toId<DataCentreName>("east"),
      clock,
      metrics,
      latencies: new LatencyRecords(),
      logger,
    },
    request: {
      attemptId: toId<AttemptId>("attempt-1"),
      host: "api.example",
      method: "POST",
      path: "/draft/1",
      headers: [],
      body: Buffer.alloc(0),
      key: undefined,
      deadlineInMs: 5000,
      prompt: {
        inputTokens: 20,
        maxOutputTokens: 5,
        parts: [{ id: "aa", tokens: 10 }, { id: "own", tokens: 10 }],
      },
      resumeAfter: undefined,
      resumedAttemptId: undefined,
      stageItems: [1],
      inputKey: "k1",
      receivedAtMs: clock.nowMs(),
    },
    channel: {
      isClosed: false,
      backlogBytes: 0,
      onClosed: () => undefined,
      writeHead: () => undefined,
      write: () => undefined,
      end: () => undefined,
      abort: () => undefined,
      sendLocalReply: (reply) => {
        replies.push(reply);
      },
    },
    route: {
      name: "draft",
      host: "api.example",
      pathPrefix: "/draft/",
      repeatability: { kind: "stream", isResumable: true },
      targets: [{ service: ENCODER, weight: 1 }],
      maxAttempts: 3,
      timeoutMs: 5000,
      objectiveMs: 1000,
      priority: 0,
      isPublic: true,
      stages: [{ service: ENCODER, after: [], resultBytes: 10 }],
    },
    service: ENCODER,
    account: undefined,
    lifetime: new RequestLifetime({ endsAtMs: clock.nowMs() + 5000, clock }),
    stageGroup: "group",
    configurationVersion: 1,
  };
  await forwardStream(context);
  return { replies, callCount, stageRunCount };
}

describe("forwarding of prompt parts that crash servers", () => {
  it("refuses a request before its stages run", async () => {
    const result = await forward({ admissions: [REFUSED], mayRetry: false });
    expect(result.replies).toEqual([{
      kind: "refused",
      reason: "poisonPart",
      retryAfterMs: RETRY_AFTER_MS,
      detail: expect.a(String),
    }]);
    expect(result.callCount + result.stageRunCount).toEqual(0);
  });

  it("refuses a request whose part was blocked while its stages ran", async () => {
    const admissions = [ADMITTED, REFUSED];
    const result = await forward({ admissions, mayRetry: false });
    expect(result.replies.map(({ kind }) => kind)).toEqual(["refused"]);
    expect(result.stageRunCount).toEqual(1);
    expect(result.callCount).toEqual(0);
  });

  it("doesn't carry a request that crashed a server to the next one", async () => {
    const result = await forward({ admissions: [ADMITTED], mayRetry: false });
    expect(result.replies)
      .toEqual([{ kind: "failed", detail: "serverCrashed" }]);
    expect(result.callCount).toEqual(1);
  });

  it("repeats a request whose parts have all been found sound", async () => {
    const result = await forward({ admissions: [ADMITTED], mayRetry: true });
    expect(result.callCount).toEqual(3);
  });

  it("never says that a request has not run once it was sent", async () => {
    const admissions = [ADMITTED, ADMITTED, REFUSED];
    const result = await forward({ admissions, mayRetry: true });
    expect(result.replies).toEqual([{ kind: "failed", detail: "poisonPart" }]);
    expect(result.callCount).toEqual(1);
  });
});
