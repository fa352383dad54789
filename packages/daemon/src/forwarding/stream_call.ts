/**
 * One call of a stream to a backend server.
 *
 * @module
 */

import type { AccountedBuffer } from "../memory/accounted_buffer.js";
import type { ServerCandidate } from "../placement/choose_server.js";
import type { AttemptInput } from "./attempt_input.js";
import { type CompleteEvents, EventSplitter } from "./event_splitter.js";
import {
  classifyFailure,
  MAX_BUFFERED_RESPONSE_BYTES,
  openResponseBuffer,
  startCall,
  type StartedCall,
} from "./run_attempt.js";
import type { ResponseHead, ServerCallFailure } from "./server_caller.js";

/** How a call ended by itself. */
export type StreamCallResult =
  /** The stream ended after a complete event. */
  | { readonly kind: "streamed"; readonly head: ResponseHead }
  /** A complete response that is not a stream. */
  | {
    readonly kind: "answered";
    readonly head: ResponseHead;
    readonly body: Buffer;
  }
  | { readonly kind: "notRun"; readonly isInputGone: boolean }
  | { readonly kind: "notSent"; readonly detail: string }
  | { readonly kind: "broken"; readonly detail: string };

/** Why a call was dropped while another one goes on. */
export type DropCause =
  | Exclude<StreamCallResult, { readonly kind: "streamed" }>
  /** Another call delivered an event. */
  | { readonly kind: "superseded" };

export interface StreamCallListener {
  /** The head of a stream was received, so the server works on it. */
  readonly onBegin: (call: StreamCall) => void;
  readonly onEvents: (
    call: StreamCall,
    head: ResponseHead,
    events: CompleteEvents,
  ) => void;
  readonly onResult: (call: StreamCall, result: StreamCallResult) => void;
}

const MAX_EVENT_BYTES = 256 * 1024;

export class StreamCall {
  readonly startedAtMs: number;
  readonly #attempt: AttemptInput;
  readonly #listener: StreamCallListener;
  /** A partial event, or the body of a response that isn't a stream. */
  readonly #buffer: AccountedBuffer;
  readonly #splitter: EventSplitter;
  readonly #call: StartedCall;
  #head: ResponseHead | undefined;
  #lastReceivedAtMs: number;
  #hasEvents = false;
  #isEnded = false;
  #isSilent = false;

  constructor(attempt: AttemptInput, listener: StreamCallListener) {
    this.#attempt = attempt;
    this.#listener = listener;
    this.#buffer = openResponseBuffer(attempt, () => {
      this.#call.evict();
    });
    this.#splitter = new EventSplitter(this.#buffer);
    this.startedAtMs = this.#nowMs();
    this.#lastReceivedAtMs = this.startedAtMs;
    this.#call = startCall(attempt, {
      onHead: (head) => {
        this.#head = head;
        this.#recordReceived();
        if (isStream(head)) listener.onBegin(this);
      },
      onBody: (chunk) => {
        this.#recordReceived();
        this.#handleBody(chunk);
      },
      onEnd: () => {
        this.#end(this.#classifyResponse());
      },
      onFailure: (failure) => {
        this.#end(this.#classifyFailure(failure));
      },
    });
  }

  get candidate(): ServerCandidate {
    return this.#attempt.candidate;
  }

  /** Whether the call ended by itself. */
  get isEnded(): boolean {
    return this.#isEnded;
  }

  get hasEvents(): boolean {
    return this.#hasEvents;
  }

  /** When data was last received; before that, when the call was started. */
  get lastReceivedAtMs(): number {
    return this.#lastReceivedAtMs;
  }

  cancel(): void {
    this.#buffer.take();
    this.#setSilent(false);
    this.#call.cancel();
  }

  /**
   * Marks the server as silent unless its other calls receive data.
   *
   * @returns Whether the call wasn't known to be silent
   */
  recordSilence(nowMs: number): boolean {
    this.candidate.health.recordSilence(this.#lastReceivedAtMs, nowMs);
    const isNew = !this.#isSilent;
    this.#setSilent(true);
    return isNew;
  }

  #end(result: StreamCallResult): void {
    this.#isEnded = true;
    this.#buffer.take();
    this.#setSilent(false);
    this.#listener.onResult(this, result);
  }

  #handleBody(chunk: Buffer): void {
    const head = this.#head;
    if (!isStream(head)) {
      this.#bufferBody(chunk);
      return;
    }
    const events = this.#splitter.push(chunk);
    // The call may have been ended to free memory.
    if (this.#isEnded) return;
    if (events.bytes.length > 0) {
      this.#call.recordEvent();
      this.#listener.onEvents(this, head, events);
      this.#hasEvents = true;
    }
    if (this.#splitter.partialEventBytes > MAX_EVENT_BYTES) {
      this.#call.endOversized("eventTooLarge");
    }
  }

  /** Buffers a response that isn't a stream. */
  #bufferBody(chunk: Buffer): void {
    const bytes = this.#buffer.length + chunk.length;
    if (bytes > MAX_BUFFERED_RESPONSE_BYTES) {
      this.#call.endOversized("bodyTooLarge");
    } else this.#buffer.append(chunk);
  }

  #classifyResponse(): StreamCallResult {
    const head = this.#head;
    if (head === undefined) return { kind: "broken", detail: "noHead" };
    if (head.isNotRun) {
      return { kind: "notRun", isInputGone: head.isInputGone };
    }
    if (!head.isGenuine) return { kind: "broken", detail: "notGenuine" };
    if (!isStream(head)) {
      return { kind: "answered", head, body: this.#buffer.take() };
    }
    if (this.#splitter.partialEventBytes === 0) {
      return { kind: "streamed", head };
    }
    this.#recordCutOff();
    return { kind: "broken", detail: "cutOff" };
  }

  /** Unlike other broken responses, this one ended without an error. */
  #recordCutOff(): void {
    const { environment, request } = this.#attempt.context;
    const { server, health } = this.candidate;
    health.recordFailure(this.#nowMs());
    this.#call.recordCutOff();
    environment.metrics.countEvent("streamCutOff");
    environment.logger.info("serverCallFailed", {
      request: request.attemptId,
      server: server.id,
      failure: "broken",
      detail: "cutOff",
      afterMs: Math.round(this.#nowMs() - this.startedAtMs),
    });
  }

  #classifyFailure(failure: ServerCallFailure): StreamCallResult {
    const result = classifyFailure(this.#head, failure);
    return result.kind === "answered"
      ? { kind: "broken", detail: failure.detail }
      : result;
  }

  #recordReceived(): void {
    this.#lastReceivedAtMs = this.#nowMs();
    this.candidate.health.recordReceived(this.#lastReceivedAtMs);
    this.#setSilent(false);
  }

  #setSilent(isSilent: boolean): void {
    if (this.#isSilent === isSilent) return;
    this.#isSilent = isSilent;
    this.candidate.health.silentCalls += isSilent ? 1 : -1;
  }

  #nowMs(): number {
    return this.#attempt.context.environment.clock.nowMs();
  }
}

function isStream(head: ResponseHead | undefined): head is ResponseHead {
  return head?.status === 200 && head.isGenuine && !head.isNotRun;
}
