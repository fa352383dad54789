import { NO_NOTICE } from "../register/server_notice.js";
import { expect } from "earl";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { Repeatability } from "../routing/routing_configuration.js";
import { ENCODER } from "../testing/stage_samples.js";
import type { ForwardContext } from "./forward_context.js";
import { forwardBuffered } from "./forward_buffered.js";
import { forwardStream } from "./forward_stream.js";
import { RequestLifetime } from "./request_lifetime.js";
import type {
  ResponseHead,
  ServerCall,
  ServerCallListener,
} from "./server_caller.js";
import {
  makeForwardEnvironment,
  makeRoutedRequest,
  makeSampleRoute,
  RecordingChannel,
} from "./testing/sample_forwarding.js";

const OBJECTIVE_MS = 100;
/** Before the hedge of a request with this objective. */
const HEDGE_BLOCK_AFTER_MS = 30;
/** Before a stream without a first event is resumed. */
const STALL_BLOCK_AFTER_MS = 1300;
const BLOCK_MS = 500;
const SETTLE_MS = 100;
/** Longer than the silence after which a stream is resumed. */
const DATA_BLOCK_MS = 2000;
const STREAM_HEAD: ResponseHead = {
  status: 200,
  headers: [],
  isNotRun: false,
  isInputGone: false,
  endsWithConnection: false,
  isGenuine: true,
  rateLimit: { kind: "unknown" },
  notice: NO_NOTICE,
};

function block(durationMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
}

/**
 * Disconnects the client, then blocks the event loop after a poll. The timers
 * that become due meanwhile run before the next poll.
 */
function disconnectAndBlock(client: Socket): void {
  setImmediate(() => {
    client.destroy();
    block(BLOCK_MS);
  });
}

/** A connection whose server side is the client connection of a request. */
async function openConnection(): Promise<{ client: Socket; server: Socket }> {
  const listener = createServer().listen(0, "127.0.0.1");
  await once(listener, "listening");
  const accepted = once(listener, "connection") as Promise<[Socket]>;
  const client = connect((listener.address() as AddressInfo).port, "127.0.0.1");
  const [server] = await accepted;
  listener.close();
  server.resume();
  return { client, server };
}

/** A request to servers that never respond, and the calls made for it. */
function makeContext(
  repeatability: Repeatability,
  server: Socket,
): {
  readonly context: ForwardContext;
  readonly calls: ServerCall[];
  readonly listeners: ServerCallListener[];
} {
  const calls: ServerCall[] = [];
  const listeners: ServerCallListener[] = [];
  const environment = makeForwardEnvironment({
    serverCaller: {
      start: (call, listener) => {
        calls.push(call);
        listeners.push(listener);
        return { cancel: () => undefined, cancelIfNotSent: () => false };
      },
    },
  });
  const { clock } = environment;
  const route = makeSampleRoute("lookup", repeatability, {
    objectiveMs: OBJECTIVE_MS,
  });
  const lifetime = new RequestLifetime({
    endsAtMs: clock.nowMs() + route.timeoutMs,
    clock,
  });
  server.once("end", () => {
    lifetime.endForClientDisconnect();
  });
  const context: ForwardContext = {
    environment,
    request: makeRoutedRequest("/lookup/1"),
    channel: new RecordingChannel(),
    route,
    service: ENCODER,
    account: undefined,
    lifetime,
    stageGroup: "",
    configurationVersion: 1,
  };
  return { context, calls, listeners };
}

describe("a client that disconnects while the event loop is blocked", () => {
  it("causes no hedge", async () => {
    const { client, server } = await openConnection();
    const { context, calls } = makeContext({ kind: "idempotent" }, server);
    const outcome = forwardBuffered(context);
    await sleep(HEDGE_BLOCK_AFTER_MS);
    disconnectAndBlock(client);
    expect((await outcome).kind).toEqual("clientGone");
    await sleep(SETTLE_MS);
    expect(calls.length).toEqual(1);
  });

  it("causes no resumption of its stream", async () => {
    const { client, server } = await openConnection();
    const { context, calls } = makeContext(
      { kind: "stream", isResumable: true },
      server,
    );
    const outcome = forwardStream(context);
    await sleep(STALL_BLOCK_AFTER_MS);
    disconnectAndBlock(client);
    expect((await outcome).kind).toEqual("clientGone");
    await sleep(SETTLE_MS);
    expect(calls.length).toEqual(1);
  });
});

describe("a stream whose data arrives while the event loop is blocked", () => {
  it("isn't taken for silent", async () => {
    const { client: backend, server: connection } = await openConnection();
    const { context, calls, listeners } = makeContext(
      { kind: "stream", isResumable: true },
      connection,
    );
    const outcome = forwardStream(context);
    await sleep(SETTLE_MS);
    const [listener] = listeners;
    listener?.onHead(STREAM_HEAD);
    connection.on("data", (chunk) => listener?.onBody(chunk));
    setImmediate(() => {
      backend.write("id: 1\ndata: 1\n\n");
      block(DATA_BLOCK_MS);
    });
    await sleep(DATA_BLOCK_MS + SETTLE_MS);
    context.lifetime.endForClientDisconnect();
    await outcome;
    backend.destroy();
    expect(calls.length).toEqual(1);
  });
});
