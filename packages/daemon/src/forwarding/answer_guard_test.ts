import { expect } from "earl";
import { describe, it } from "node:test";
import { AnswerGuard } from "./answer_guard.js";
import type { ClientResponseHead, LocalReply } from "./routed_request.js";
import {
  makeForwardEnvironment,
  makeRoutedRequest,
  RecordingChannel,
  RecordingLogger,
} from "./testing/sample_forwarding.js";

const HEAD: ClientResponseHead = {
  status: 200,
  headers: [],
  endsWithConnection: false,
};
const TIMED_OUT: LocalReply = { kind: "timedOut" };

function makeGuard(): {
  readonly guard: AnswerGuard;
  readonly channel: RecordingChannel;
  readonly logger: RecordingLogger;
} {
  const channel = new RecordingChannel();
  const logger = new RecordingLogger();
  const guard = new AnswerGuard(makeRoutedRequest("/lookup/1"), {
    channel,
    environment: makeForwardEnvironment({ logger }),
  });
  return { guard, channel, logger };
}

describe("AnswerGuard", () => {
  it("answers a request whose forwarding ended without an answer", () => {
    const { guard, channel, logger } = makeGuard();
    const outcome = guard.settle({ kind: "answered", status: 200 });
    expect(outcome.kind).toEqual("own");
    expect(channel.replies.map((reply) => reply.kind)).toEqual(["refused"]);
    expect(logger.events.map(({ event }) => event)).toEqual(["answerMissing"]);
  });

  it("breaks off a response whose forwarding ended in the middle", () => {
    const { guard, channel } = makeGuard();
    guard.channel.writeHead(HEAD);
    expect(guard.settle({ kind: "answered", status: 200 }).kind)
      .toEqual("brokenOff");
    expect(channel.isAborted).toEqual(true);
  });

  it("leaves a complete answer and a client that is gone alone", () => {
    const answered = makeGuard();
    answered.guard.channel.sendLocalReply(TIMED_OUT);
    answered.guard.settle({ kind: "own", answer: "timedOut", detail: "" });
    answered.guard.settleAfterError(new Error("Late"));
    expect(answered.channel.replies).toEqual([TIMED_OUT]);
    expect(answered.channel.isAborted).toEqual(false);
    const gone = makeGuard();
    gone.channel.disconnectClient();
    expect(gone.guard.settle({ kind: "clientGone" }))
      .toEqual({ kind: "clientGone" });
    expect(gone.channel.replies).toEqual([]);
  });

  it("sends no second answer", () => {
    const { guard, channel, logger } = makeGuard();
    guard.channel.sendLocalReply(TIMED_OUT);
    guard.channel.writeHead(HEAD);
    guard.channel.write(Buffer.from("body"));
    guard.channel.end();
    guard.channel.sendLocalReply(TIMED_OUT);
    expect(channel.heads).toEqual([]);
    expect(channel.isEnded).toEqual(false);
    expect(channel.replies).toEqual([TIMED_OUT]);
    expect(logger.events.map(({ event }) => event))
      .toEqual(["repeatedAnswer", "repeatedAnswer"]);
  });

  it("breaks off a response that another answer would complete", () => {
    const { guard, channel } = makeGuard();
    guard.channel.writeHead(HEAD);
    guard.channel.writeHead(HEAD);
    guard.channel.write(Buffer.from("other body"));
    guard.channel.end();
    expect(channel.isAborted).toEqual(true);
    expect(channel.isEnded).toEqual(false);
  });
});
