import { expect } from "earl";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { ForwardEnvironment } from "./forward_context.js";
import { RequestForwarder } from "./request_forwarder.js";
import type { ServerCaller } from "./server_caller.js";
import {
  makeForwardEnvironment,
  makeRoutedRequest,
  makeSampleRoute,
  makeSampleTable,
  RecordingChannel,
  RecordingLogger,
  SAMPLE_HEAD,
} from "./testing/sample_forwarding.js";

const ROUTES = makeSampleTable([
  makeSampleRoute("lookup", { kind: "idempotent" }),
  makeSampleRoute("issue", { kind: "nonIdempotent" }),
  makeSampleRoute("draft", { kind: "stream", isResumable: true }),
]);
const SETTLE_MS = 50;

/** Responds to each call with one event, and then breaks the stream. */
const BREAKING_CALLER: ServerCaller = {
  start: (_call, listener) => {
    setImmediate(() => {
      listener.onSend();
      listener.onHead(SAMPLE_HEAD);
      listener.onBody(Buffer.from("id: 1\ndata: 1\n\n"));
      listener.onFailure({
        kind: "broken",
        detail: "ECONNRESET",
        remainingConnections: "some",
      });
    });
    return { cancel: () => undefined, cancelIfNotSent: () => false };
  },
};

/** Responds to each call with a complete, empty response. */
const RESPONDING_CALLER: ServerCaller = {
  start: (_call, listener) => {
    setImmediate(() => {
      listener.onSend();
      listener.onHead(SAMPLE_HEAD);
      listener.onEnd();
    });
    return { cancel: () => undefined, cancelIfNotSent: () => false };
  },
};

/** Fails when the forwarder looks for a server. */
function failPlacement(environment: ForwardEnvironment): void {
  environment.directory.assign = () =>
    Promise.reject(new Error("Placement failed"));
}

interface ForwardRun {
  readonly channel: RecordingChannel;
  readonly logger: RecordingLogger;
  readonly forwarder: RequestForwarder;
  readonly finished: Promise<void>;
}

function startForward(
  path: string,
  options: {
    readonly environment?: Partial<ForwardEnvironment>;
    readonly prepare?: (environment: ForwardEnvironment) => void;
    readonly channel?: RecordingChannel;
  },
): ForwardRun {
  const logger = new RecordingLogger();
  const environment = makeForwardEnvironment({
    logger,
    ...options.environment,
  });
  options.prepare?.(environment);
  const channel = options.channel ?? new RecordingChannel();
  const forwarder = new RequestForwarder({
    environment,
    table: () => ROUTES,
    configurationAgeMs: () => 0,
    shutdown: () => undefined,
  });
  const finished = forwarder.forward(makeRoutedRequest(path), channel);
  return { channel, logger, forwarder, finished };
}

/** Number of final responses, complete or not. */
function countAnswers(channel: RecordingChannel): number {
  return channel.replies.length + Number(channel.isEnded) +
    Number(channel.isAborted);
}

describe("RequestForwarder, after an unexpected error", () => {
  it("refuses a request of which no call was started, and frees it", async () => {
    for (const path of ["/lookup/1", "/issue/1", "/draft/1"]) {
      const run = startForward(path, { prepare: failPlacement });
      await run.finished;
      expect(run.channel.replies.map((reply) => reply.kind))
        .toEqual(["refused"]);
      expect(countAnswers(run.channel)).toEqual(1);
      expect(run.forwarder.inFlight).toEqual(0);
    }
  });

  it("reports an unknown outcome once a call was started", async () => {
    const serverCaller: ServerCaller = {
      start: () => {
        throw new Error("The call failed");
      },
    };
    for (const path of ["/lookup/1", "/issue/1", "/draft/1"]) {
      const run = startForward(path, { environment: { serverCaller } });
      await run.finished;
      expect(run.channel.replies.map((reply) => reply.kind))
        .toEqual(["failed"]);
    }
  });

  it("reports an unknown outcome if the head of the response can't be sent", async () => {
    const channel = new RecordingChannel();
    channel.headError = new TypeError("Invalid character in header content");
    const run = startForward("/issue/1", {
      environment: { serverCaller: RESPONDING_CALLER },
      channel,
    });
    await run.finished;
    expect(channel.replies.map((reply) => reply.kind)).toEqual(["failed"]);
  });

  it("answers a request whose admission fails", async () => {
    const channel = new RecordingChannel();
    const environment = makeForwardEnvironment();
    const forwarder = new RequestForwarder({
      environment,
      table: () => {
        throw new Error("No table");
      },
      configurationAgeMs: () => 0,
      shutdown: () => undefined,
    });
    await forwarder.forward(makeRoutedRequest("/lookup/1"), channel);
    expect(channel.replies.map((reply) => reply.kind)).toEqual(["refused"]);
    expect(forwarder.inFlight).toEqual(0);
  });

  it("breaks off a response that has begun", async () => {
    const channel = new RecordingChannel();
    const run = startForward("/draft/1", {
      environment: { serverCaller: BREAKING_CALLER },
      prepare: ({ directory }) => {
        const retryBudgetOf = directory.retryBudgetOf.bind(directory);
        directory.retryBudgetOf = (service) => {
          if (channel.heads.length === 0) return retryBudgetOf(service);
          throw new Error("No retry budget");
        };
      },
      channel,
    });
    await run.finished;
    expect(channel.heads.length).toEqual(1);
    expect(channel.isAborted).toEqual(true);
    expect(countAnswers(channel)).toEqual(1);
  });

  it("logs the request, the error and the stage, and counts it", async () => {
    const run = startForward("/lookup/1", { prepare: failPlacement });
    await run.finished;
    const [logged] = run.logger.events
      .filter(({ level }) => level === "error");
    expect(logged?.event).toEqual("forwardingFailed");
    expect(logged?.fields["request"]).toEqual("attempt-1");
    expect(logged?.fields["stage"]).toEqual("forwarding");
    expect(logged?.fields["error"]).toEqual("Error: Placement failed");
    const ended = run.logger.events
      .filter(({ event }) => event === "requestEnded");
    expect(ended.length).toEqual(1);
  });

  it("forgets the request's lifetime", async () => {
    const run = startForward("/lookup/1", { prepare: failPlacement });
    await run.finished;
    const answers = countAnswers(run.channel);
    run.forwarder.endAllRequests();
    await sleep(SETTLE_MS);
    expect(countAnswers(run.channel)).toEqual(answers);
  });

  it("sends no answer to a client that is gone", async () => {
    const channel = new RecordingChannel();
    const run = startForward("/lookup/1", {
      prepare: (environment) => {
        environment.directory.assign = () => {
          channel.disconnectClient();
          return Promise.reject(new Error("Placement failed"));
        };
      },
      channel,
    });
    await run.finished;
    expect(channel.replies).toEqual([]);
  });
});
