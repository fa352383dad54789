/**
 * One call to a backend server for another VM.
 *
 * @module
 */

import type {
  RelayedCall,
  RelayedCallEvent,
  RelayedResponseHead,
} from "@sassafrasstage/protocol/server_calls";
import type { Clock } from "../clock.js";
import type {
  RunningServerCall,
  ServerCall,
  ServerCaller,
} from "../forwarding/server_caller.js";
import { GrowingBuffer } from "../memory/growing_buffer.js";
import type { RegisteredServer } from "../register/server_register.js";
import { PartQueue } from "./part_queue.js";
import {
  MAX_RELAY_BACKLOG_BYTES,
  RELAY_WINDOW_BYTES,
  splitChunk,
} from "./relayed_call_limits.js";

/** Time after the call's deadline in which the server may still close it. */
const DEADLINE_GRACE_MS = 1000;

export interface RelayedCallRunOptions {
  readonly call: RelayedCall;
  readonly server: RegisteredServer;
  readonly caller: ServerCaller;
  readonly clock: Clock;
  readonly connectionShare: number;
  readonly maySend: () => boolean;
  /** Returns false if the VM that asked for the call isn't connected. */
  readonly send: (event: RelayedCallEvent) => boolean;
  readonly onHead: (head: RelayedResponseHead) => void;
  /** Called once. */
  readonly onEnded: (outcome: string) => void;
}

export class RelayedCallRun {
  readonly #options: RelayedCallRunOptions;
  readonly #receivedAtMs: number;
  readonly #timer: NodeJS.Timeout;
  readonly #body: GrowingBuffer;
  #running: RunningServerCall | undefined;
  #isStarted = false;
  #isEnded = false;
  #creditBytes = RELAY_WINDOW_BYTES;
  /** Parts of the response for which there is no credit yet. */
  readonly #backlog = new PartQueue();
  /** Waits for the backlog to be sent. */
  #lastEvent: RelayedCallEvent | undefined;

  constructor(options: RelayedCallRunOptions) {
    this.#options = options;
    this.#body = new GrowingBuffer(options.call.bodyBytes);
    this.#receivedAtMs = options.clock.nowMs();
    this.#timer = setTimeout(() => {
      this.cancel("timedOut");
    }, options.call.remainingMs + DEADLINE_GRACE_MS);
  }

  get isEnded(): boolean {
    return this.#isEnded;
  }

  addBody(data: Buffer): void {
    if (this.#isStarted) return;
    // One that sends more than it stated isn't believed.
    const { bodyBytes } = this.#options.call;
    if (this.#body.length + data.length > bodyBytes) {
      this.cancel("bodyTooLarge");
      return;
    }
    this.#body.append(data);
    this.startIfComplete();
  }

  /** Starts the call once the request's body has arrived. */
  startIfComplete(): void {
    if (this.#isStarted || this.#isEnded) return;
    if (this.#body.length < this.#options.call.bodyBytes) return;
    this.#isStarted = true;
    const running = this.#options.caller.start(this.#toServerCall(), {
      onSend: () => {
        this.#send({ kind: "sent" });
      },
      onHead: (head) => {
        this.#options.onHead(head);
        this.#send({ kind: "head", head });
      },
      onBody: (chunk) => {
        this.#addResponse(chunk);
      },
      onEnd: () => {
        this.#finish({ kind: "ended" });
      },
      onFailure: (failure) => {
        this.#finish(
          failure.kind === "notSent"
            ? { ...failure, isPeerFailure: false }
            : failure,
        );
      },
    });
    this.#running = running;
    if (this.isEnded) running.cancel();
  }

  addCredit(bytes: number): void {
    this.#creditBytes += bytes;
    this.#sendBacklog();
  }

  cancel(outcome = "canceled"): void {
    if (this.#isEnded) return;
    this.#running?.cancel();
    this.#end(outcome);
  }

  #addResponse(chunk: Buffer): void {
    if (this.#isEnded) return;
    for (const part of splitChunk(chunk)) this.#backlog.push(part);
    this.#sendBacklog();
    if (this.#backlog.bytes <= MAX_RELAY_BACKLOG_BYTES) return;
    this.#backlog.clear();
    this.#running?.cancel();
    this.#finish({
      kind: "broken",
      detail: "peerTooSlow",
      remainingConnections: "notChecked",
    });
  }

  #sendBacklog(): void {
    while (this.#creditBytes > 0) {
      const data = this.#backlog.shift();
      if (data === undefined) break;
      this.#creditBytes -= data.length;
      this.#send({ kind: "data", data });
    }
    if (this.#backlog.blocks > 0 || this.#lastEvent === undefined) return;
    this.#send(this.#lastEvent);
    this.#end(this.#lastEvent.kind);
  }

  #finish(event: RelayedCallEvent): void {
    if (this.#isEnded) return;
    this.#lastEvent ??= event;
    this.#sendBacklog();
  }

  #send(event: RelayedCallEvent): void {
    if (this.#isEnded || this.#options.send(event)) return;
    this.cancel("peerNotConnected");
  }

  #end(outcome: string): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    clearTimeout(this.#timer);
    this.#options.onEnded(outcome);
  }

  #toServerCall(): ServerCall {
    const { call, server, clock, connectionShare, maySend } = this.#options;
    const waitedMs = clock.nowMs() - this.#receivedAtMs;
    return {
      server,
      request: {
        attemptId: call.attemptId,
        host: call.host,
        method: call.method,
        path: call.path,
        headers: call.headers,
        body: this.#body.take(),
        key: undefined,
        deadlineInMs: undefined,
        prompt: undefined,
        resumeAfter: undefined,
        resumedAttemptId: undefined,
        stageItems: undefined,
        inputKey: undefined,
        receivedAtMs: this.#receivedAtMs,
      },
      connectionShare,
      maySend,
      remainingMs: Math.max(1, Math.floor(call.remainingMs - waitedMs)),
      account: call.clientAccountId,
      inputs: call.inputs,
      resumeAfter: call.resumeAfter,
    };
  }
}
