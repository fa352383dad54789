import { expect } from "earl";
import { describe, it } from "node:test";
import type { Route } from "../routing/routing_configuration.js";
import { NO_OBSERVATION } from "../poison_parts/call_observation.js";
import type { Admission, PoisonParts } from "../poison_parts/poison_parts.js";
import { ENCODER } from "../testing/stage_samples.js";
import { forwardBuffered } from "./forward_buffered.js";
import type { ForwardContext } from "./forward_context.js";
import { forwardStream } from "./forward_stream.js";
import { RequestLifetime } from "./request_lifetime.js";
import type { LocalReply, PromptShape } from "./routed_request.js";
import {
  makeForwardEnvironment,
  makeRoutedRequest,
  makeSampleRoute,
  RecordingChannel,
} from "./testing/sample_forwarding.js";

const RETRY_AFTER_MS = 7000;
const REFUSED = { kind: "refused", part: "aa", retryAfterMs: RETRY_AFTER_MS };
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

const PROMPT: PromptShape = {
  inputTokens: 20,
  maxOutputTokens: 5,
  parts: [{ id: "aa", tokens: 10 }, { id: "own", tokens: 10 }],
};
const ROUTE = makeSampleRoute("draft", { kind: "stream", isResumable: true }, {
  maxAttempts: 3,
  stages: [{ service: ENCODER, after: [], resultBytes: 10 }],
});

const BUFFERED_ROUTE = makeSampleRoute("lookup", { kind: "idempotent" }, {
  maxAttempts: 3,
});

/** Forwards a request to servers that crash under each call. */
async function forward(
  judging: Judging,
  route: Route = ROUTE,
): Promise<Forwarded> {
  let callCount = 0;
  let stageRunCount = 0;
  const environment = makeForwardEnvironment({
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
    poisonParts: makeJudge(judging),
  }, ["a", "b", "c"]);
  const { clock } = environment;
  const channel = new RecordingChannel();
  const context: ForwardContext = {
    environment,
    request: makeRoutedRequest("/draft/1", {
      prompt: PROMPT,
      stageItems: [1],
      inputKey: "k1",
    }),
    channel,
    route,
    service: ENCODER,
    account: undefined,
    lifetime: new RequestLifetime({
      endsAtMs: clock.nowMs() + route.timeoutMs,
      clock,
    }),
    stageGroup: "group",
    configurationVersion: 1,
  };
  if (route === ROUTE) await forwardStream(context);
  else await forwardBuffered(context);
  return { replies: channel.replies, callCount, stageRunCount };
}

function makeJudge({ admissions, mayRetry }: Judging): PoisonParts {
  let judgedCount = 0;
  const judge: Partial<PoisonParts> = {
    admit: () => {
      const admission = admissions[judgedCount] ?? admissions.at(-1);
      judgedCount += 1;
      return admission as Admission;
    },
    observe: () => NO_OBSERVATION,
    mayRetry: () => mayRetry,
  };
  return judge as PoisonParts;
}

describe("forwarding of whole requests that crash servers", () => {
  it("refuses a request before it is sent", async () => {
    const judging = { admissions: [REFUSED], mayRetry: false };
    const result = await forward(judging, BUFFERED_ROUTE);
    expect(result.replies).toEqual([{
      kind: "refused",
      reason: "poisonPart",
      retryAfterMs: RETRY_AFTER_MS,
      detail: expect.a(String),
    }]);
    expect(result.callCount).toEqual(0);
  });

  it("doesn't carry a request that crashed a server to the next one", async () => {
    const judging = { admissions: [ADMITTED], mayRetry: false };
    const result = await forward(judging, BUFFERED_ROUTE);
    expect(result.replies.map(({ kind }) => kind)).toEqual(["failed"]);
    expect(result.callCount).toEqual(1);
  });

  it("repeats a request against which there is too little evidence", async () => {
    const judging = { admissions: [ADMITTED], mayRetry: true };
    const result = await forward(judging, BUFFERED_ROUTE);
    expect(result.callCount).toEqual(3);
  });

  it("never says that a request has not run once it was sent", async () => {
    const admissions = [ADMITTED, ADMITTED, REFUSED];
    const judging = { admissions, mayRetry: true };
    const result = await forward(judging, BUFFERED_ROUTE);
    expect(result.replies.map(({ kind }) => kind)).toEqual(["failed"]);
    expect(result.callCount).toEqual(1);
  });
});

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
