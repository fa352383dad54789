/**
 * Relays the event stream of one backend server to the client.
 *
 * @module
 */

import type { Deferred } from "../deferred.js";
import { makeDeferred } from "../deferred.js";
import { EventSplitter } from "./event_splitter.js";
import {
  type AttemptInput,
  classifyFailure,
  MAX_BUFFERED_RESPONSE_BYTES,
  startCall,
  type StartedCall,
} from "./run_attempt.js";
import type { ResponseHead, ServerCallFailure } from "./server_caller.js";

/** Result of one call to a backend server. */
export type StreamResult =
  /** The complete stream was sent to the client. */
  | { readonly kind: "complete" }
  /** A complete response that is not a stream. */
  | {
    readonly kind: "answered";
    readonly head: ResponseHead;
    readonly body: Buffer;
  }
  | { readonly kind: "notRun"; readonly isInputGone: boolean }
  | { readonly kind: "notSent"; readonly detail: string }
  | { readonly kind: "broken"; readonly detail: string }
  /** The request's lifetime ended before the call did. */
  | { readonly kind: "ended" };

/** What the client has received, over all calls for the request. */
export interface StreamProgress {
  isHeadSent: boolean;
  /** The client expects the stream to end when its connection closes. */
  endsWithConnection: boolean;
  /** Id of the last forwarded event. */
  lastEventId: string | undefined;
}

export interface StreamRelayOptions {
  readonly attempt: AttemptInput;
  readonly progress: StreamProgress;
  /** Whether the stream can resume at another server if this one stalls. */
  readonly canFailOver: () => boolean;
  /** Called on the first event, once the server has consumed the inputs. */
  readonly onFirstEvent: (afterMs: number) => void;
}

/** Time without data before the first event after which a stream fails over. */
const FIRST_EVENT_STALL_MS = 1500;
/** Time without data between events after which a stream fails over. */
const EVENT_STALL_MS = 1000;
const STALL_CHECK_MS = 250;
const MAX_EVENT_BYTES = 256 * 1024;
/** What a client that doesn't read may leave unread of a stream. */
const MAX_CLIENT_BACKLOG_BYTES = 2 * 1024 * 1024;

/** Handles one call to a backend server. */
export class StreamRelay {
  readonly #options: StreamRelayOptions;
  readonly #splitter = new EventSplitter();
  readonly #nonStreamBody: Buffer[] = [];
  readonly #result: Deferred<StreamResult> = makeDeferred();
  readonly #startedAtMs: number;
  readonly #stallTimer: NodeJS.Timeout | undefined;
  readonly #call: StartedCall;
  #bufferedBytes = 0;
  #head: ResponseHead | undefined;
  #lastReceivedAtMs: number;
  #hasForwardedEvents = false;

  private constructor(options: StreamRelayOptions) {
    this.#options = options;
    this.#startedAtMs = this.#nowMs();
    this.#lastReceivedAtMs = this.#startedAtMs;
    this.#call = startCall(options.attempt, {
      onHead: (head) => {
        this.#head = head;
        this.#lastReceivedAtMs = this.#nowMs();
      },
      onBody: (chunk) => {
        this.#handleBody(chunk);
      },
      onEnd: () => {
        this.#result.resolve(this.#finishResponse());
      },
      onFailure: (failure) => {
        this.#handleFailure(failure);
      },
    });
    this.#stallTimer = setInterval(() => {
      this.#checkStall();
    }, STALL_CHECK_MS);
  }

  /** Relays until the call or the request's lifetime ends. */
  static async run(options: StreamRelayOptions): Promise<StreamResult> {
    const relay = new StreamRelay(options);
    const { lifetime } = options.attempt.context;
    const stopListening = lifetime.onEnd(() => {
      relay.#call.cancel();
      relay.#result.resolve({ kind: "ended" });
    });
    try {
      return await relay.#result.promise;
    } finally {
      stopListening();
      clearInterval(relay.#stallTimer);
    }
  }

  #handleBody(chunk: Buffer): void {
    this.#lastReceivedAtMs = this.#nowMs();
    if (!this.#isStream()) {
      this.#bufferBody(chunk);
      return;
    }
    const { bytes, lastId } = this.#splitter.push(chunk);
    this.#forwardEvents(bytes);
    if (lastId !== undefined) this.#options.progress.lastEventId = lastId;
    if (this.#splitter.partialEventBytes > MAX_EVENT_BYTES) {
      this.#call.endOversized("eventTooLarge");
    }
    this.#checkBacklog();
  }

  /** Buffers a response that isn't a stream. */
  #bufferBody(chunk: Buffer): void {
    this.#bufferedBytes += chunk.length;
    if (this.#bufferedBytes <= MAX_BUFFERED_RESPONSE_BYTES) {
      this.#nonStreamBody.push(chunk);
    } else this.#call.endOversized("bodyTooLarge");
  }

  /** Ends a stream that its client reads too slowly. */
  #checkBacklog(): void {
    const { context } = this.#options.attempt;
    const { backlogBytes } = context.channel;
    if (backlogBytes <= MAX_CLIENT_BACKLOG_BYTES) return;
    const { logger, metrics } = context.environment;
    metrics.countEvent("clientTooSlow");
    logger.info("clientTooSlow", {
      request: context.request.attemptId,
      backlogBytes,
    });
    context.channel.abort();
    context.lifetime.endForClientDisconnect();
  }

  #forwardEvents(bytes: Buffer): void {
    if (bytes.length === 0) return;
    this.#call.recordEvent();
    if (!this.#hasForwardedEvents) {
      this.#hasForwardedEvents = true;
      this.#options.onFirstEvent(this.#nowMs() - this.#startedAtMs);
    }
    this.#sendHead();
    this.#options.attempt.context.channel.write(bytes);
  }

  /** Sends the head of the first server that streams; later heads are ignored. */
  #sendHead(): void {
    const { progress, attempt } = this.#options;
    if (progress.isHeadSent || this.#head === undefined) return;
    progress.isHeadSent = true;
    progress.endsWithConnection = this.#head.endsWithConnection;
    attempt.context.channel.writeHead(this.#head);
  }

  #finishResponse(): StreamResult {
    const head = this.#head;
    if (head === undefined) return { kind: "broken", detail: "noHead" };
    if (head.isNotRun) {
      return { kind: "notRun", isInputGone: head.isInputGone };
    }
    if (!head.isGenuine) return { kind: "broken", detail: "notGenuine" };
    if (this.#isStream()) {
      if (this.#mayBeCutOff(head)) return { kind: "broken", detail: "cutOff" };
      this.#forwardEvents(this.#splitter.takePartialEvent());
      this.#sendHead();
      this.#options.attempt.context.channel.end();
      return { kind: "complete" };
    }
    if (this.#options.progress.isHeadSent) {
      return { kind: "broken", detail: `status${head.status}` };
    }
    return { kind: "answered", head, body: Buffer.concat(this.#nonStreamBody) };
  }

  /**
   * Whether the stream may be truncated without the client being able to detect
   * it. This requires a server that marks the end by closing the connection.
   */
  #mayBeCutOff(head: ResponseHead): boolean {
    if (!head.endsWithConnection) return false;
    const { progress } = this.#options;
    return this.#splitter.partialEventBytes > 0 ||
      (progress.isHeadSent && !progress.endsWithConnection);
  }

  #handleFailure(failure: ServerCallFailure): void {
    const result = classifyFailure(this.#head, failure);
    this.#result.resolve(
      result.kind === "answered"
        ? { kind: "broken", detail: failure.detail }
        : result,
    );
  }

  #checkStall(): void {
    const limitMs = this.#hasForwardedEvents
      ? EVENT_STALL_MS
      : FIRST_EVENT_STALL_MS;
    if (this.#nowMs() - this.#lastReceivedAtMs < limitMs) return;
    if (!this.#options.canFailOver()) return;
    this.#call.cancel();
    this.#options.attempt.candidate.health.recordFailure(this.#nowMs());
    this.#result.resolve({ kind: "broken", detail: "silent" });
  }

  #isStream(): boolean {
    const head = this.#head;
    return head?.status === 200 && head.isGenuine && !head.isNotRun;
  }

  #nowMs(): number {
    return this.#options.attempt.context.environment.clock.nowMs();
  }
}
