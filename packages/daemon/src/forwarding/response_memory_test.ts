import { expect } from "earl";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { BufferAccount } from "../memory/buffer_account.js";
import { RequestForwarder } from "./request_forwarder.js";
import type { ServerCaller, ServerCallListener } from "./server_caller.js";
import {
  makeForwardEnvironment,
  makeRoutedRequest,
  makeSampleRoute,
  makeSampleTable,
  RecordingChannel,
  SAMPLE_HEAD,
} from "./testing/sample_forwarding.js";

const MAX_BYTES = 10_000;
const SETTLE_MS = 20;
const ROUTES = makeSampleTable([
  makeSampleRoute("lookup", { kind: "idempotent" }, { maxAttempts: 1 }),
  makeSampleRoute("issue", { kind: "nonIdempotent" }),
  makeSampleRoute("draft", { kind: "stream", isResumable: false }),
]);

class RunningForwards {
  readonly calls: { listener: ServerCallListener; isCanceled: boolean }[] = [];
  readonly buffers = new BufferAccount({
    maxBytes: MAX_BYTES,
    nowMs: () => 0,
    onEvicted: () => undefined,
  });
  readonly #forwarder: RequestForwarder;

  constructor() {
    const serverCaller: ServerCaller = {
      start: (_call, listener) => {
        const call = { listener, isCanceled: false };
        this.calls.push(call);
        listener.onSend();
        listener.onHead(SAMPLE_HEAD);
        return {
          cancel: () => {
            call.isCanceled = true;
          },
          cancelIfNotSent: () => false,
        };
      },
    };
    this.#forwarder = new RequestForwarder({
      environment: makeForwardEnvironment({
        serverCaller,
        buffers: this.buffers,
      }),
      table: () => ROUTES,
      configurationAgeMs: () => 0,
      shutdown: () => undefined,
    });
  }

  get heldBytes(): number {
    return this.buffers.heldBytesFor("serverResponses");
  }

  async start(path: string): Promise<RecordingChannel> {
    const channel = new RecordingChannel();
    const callCount = this.calls.length;
    void this.#forwarder.forward(makeRoutedRequest(path), channel);
    while (this.calls.length === callCount) await sleep(1);
    return channel;
  }

  send(callIndex: number, bytes: number): void {
    this.calls[callIndex]?.listener.onBody(Buffer.alloc(bytes, "x"));
  }
}

describe("responses that are being received", () => {
  it("don't take more memory than the account has, whoever holds it", async () => {
    const forwards = new RunningForwards();
    await forwards.start("/issue/1");
    const lookup = await forwards.start("/lookup/1");
    forwards.send(0, 4000);
    forwards.send(1, 4000);
    // The request that can't be repeated holds more, but isn't ended.
    forwards.send(0, 1000);
    await sleep(SETTLE_MS);
    expect(forwards.calls.map(({ isCanceled }) => isCanceled))
      .toEqual([false, true]);
    expect(forwards.heldBytes).toBeLessThanOrEqual(MAX_BYTES);
    expect(lookup.replies.length + Number(lookup.isAborted)).toEqual(1);
  });

  for (const path of ["/lookup/1", "/issue/1", "/draft/1"]) {
    it(`aren't accounted for once the call has ended: ${path}`, async () => {
      const ends: readonly ((
        listener: ServerCallListener | undefined,
        channel: RecordingChannel,
      ) => void)[] = [
        (listener) => listener?.onEnd(),
        (listener) =>
          listener?.onFailure({
            kind: "broken",
            detail: "ECONNRESET",
            remainingConnections: "some",
          }),
        (listener, channel) => {
          channel.disconnectClient();
          // A call that can't be repeated goes on without its client.
          if (path === "/issue/1") listener?.onEnd();
        },
      ];
      for (const end of ends) {
        const forwards = new RunningForwards();
        const channel = await forwards.start(path);
        forwards.send(0, 2000);
        expect(forwards.heldBytes).toBeGreaterThanOrEqual(2000);
        end(forwards.calls[0]?.listener, channel);
        await sleep(SETTLE_MS);
        expect(forwards.heldBytes).toEqual(0);
      }
    });
  }
});
