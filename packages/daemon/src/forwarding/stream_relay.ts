/**
 * Relays the stream of one backend server to the client, event by event.
 *
 * @module
 */

import type { Deferred } from "../deferred.js";
import { makeDeferred } from "../deferred.js";
import { EventSplitter } from "./event_splitter.js";
import { type AttemptInput, judgeFailure, startCall } from "./run_attempt.js";
import type {
  AnswerHead,
  RunningServerCall,
  ServerCallFailure,
} from "./server_caller.js";

/** What one call of a backend server brought. */
export type StreamResult =
  /** The client has the whole stream. */
  | { readonly kind: "complete" }
  /** An answer that is no stream, whole. */
  | {
    readonly kind: "answered";
    readonly head: AnswerHead;
    readonly body: Buffer;
  }
  | { readonly kind: "notRun"; readonly isInputGone: boolean }
  | { readonly kind: "notSent"; readonly detail: string }
  | { readonly kind: "broken"; readonly detail: string }
  /** The request's lifetime ended first. */
  | { readonly kind: "ended" };

/** What the client has of the stream, over all calls for it. */
export interface StreamProgress {
  isHeadSent: boolean;
  /** The client was told that the stream ends with its connection. */
  endsWithConnection: boolean;
  /** Id of the last event that was passed on. */
  lastEventId: string | undefined;
}

export interface StreamRelayOptions {
  readonly attempt: AttemptInput;
  readonly progress: StreamProgress;
  /** Whether the stream may go on elsewhere when this server falls silent. */
  readonly mayMove: boolean;
  /** The first event has come, so the inputs have been used. */
  readonly onFirstEvent: (afterMs: number) => void;
}

/** Silence before the first event after which a resumable stream moves. */
const FIRST_EVENT_STALL_MS = 1500;
/** Silence between events after which a resumable stream moves. */
const EVENT_STALL_MS = 1000;
const STALL_CHECK_MS = 250;

/** One for each call of a backend server. */
export class StreamRelay {
  readonly #options: StreamRelayOptions;
  readonly #splitter = new EventSplitter();
  readonly #otherBody: Buffer[] = [];
  readonly #result: Deferred<StreamResult> = makeDeferred();
  readonly #startedAtMs: number;
  readonly #stallTimer: NodeJS.Timeout | undefined;
  readonly #call: RunningServerCall;
  #head: AnswerHead | undefined;
  #lastHeardAtMs: number;
  #hasEvents = false;

  private constructor(options: StreamRelayOptions) {
    this.#options = options;
    this.#startedAtMs = this.#nowMs();
    this.#lastHeardAtMs = this.#startedAtMs;
    this.#call = startCall(options.attempt, {
      onHead: (head) => {
        this.#head = head;
        this.#lastHeardAtMs = this.#nowMs();
      },
      onBody: (chunk) => {
        this.#takeBody(chunk);
      },
      onEnd: () => {
        this.#result.resolve(this.#judgeEnd());
      },
      onFailure: (failure) => {
        this.#takeFailure(failure);
      },
    });
    if (!options.mayMove) return;
    this.#stallTimer = setInterval(() => {
      this.#checkStall();
    }, STALL_CHECK_MS);
  }

  /** Relays until the call ends or the request's lifetime does. */
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

  #takeBody(chunk: Buffer): void {
    this.#lastHeardAtMs = this.#nowMs();
    if (!this.#isStream()) {
      this.#otherBody.push(chunk);
      return;
    }
    const { bytes, lastId } = this.#splitter.push(chunk);
    this.#passOn(bytes);
    if (lastId !== undefined) this.#options.progress.lastEventId = lastId;
  }

  #passOn(bytes: Buffer): void {
    if (bytes.length === 0) return;
    if (!this.#hasEvents) {
      this.#hasEvents = true;
      this.#options.onFirstEvent(this.#nowMs() - this.#startedAtMs);
    }
    this.#sendHead();
    this.#options.attempt.context.channel.write(bytes);
  }

  /** The head of the stream's first server is the client's. */
  #sendHead(): void {
    const { progress, attempt } = this.#options;
    if (progress.isHeadSent || this.#head === undefined) return;
    progress.isHeadSent = true;
    progress.endsWithConnection = this.#head.endsWithConnection;
    attempt.context.channel.writeHead(this.#head);
  }

  #judgeEnd(): StreamResult {
    const head = this.#head;
    if (head === undefined) return { kind: "broken", detail: "noHead" };
    if (head.isNotRun) {
      return { kind: "notRun", isInputGone: head.isInputGone };
    }
    if (!head.isGenuine) return { kind: "broken", detail: "notGenuine" };
    if (this.#isStream()) {
      if (this.#isDoubtful(head)) return { kind: "broken", detail: "cutOff" };
      this.#passOn(this.#splitter.takeRest());
      this.#sendHead();
      this.#options.attempt.context.channel.end();
      return { kind: "complete" };
    }
    if (this.#options.progress.isHeadSent) {
      return { kind: "broken", detail: `status${head.status}` };
    }
    return { kind: "answered", head, body: Buffer.concat(this.#otherBody) };
  }

  /** Whether the stream may have been cut off and the client couldn't see it. */
  #isDoubtful(head: AnswerHead): boolean {
    if (!head.endsWithConnection) return false;
    const { progress } = this.#options;
    return this.#splitter.hasRest ||
      (progress.isHeadSent && !progress.endsWithConnection);
  }

  #takeFailure(failure: ServerCallFailure): void {
    const result = judgeFailure(this.#head, failure);
    this.#result.resolve(
      result.kind === "answered"
        ? { kind: "broken", detail: failure.detail }
        : result,
    );
  }

  #checkStall(): void {
    const limitMs = this.#hasEvents ? EVENT_STALL_MS : FIRST_EVENT_STALL_MS;
    if (this.#nowMs() - this.#lastHeardAtMs < limitMs) return;
    this.#call.cancel();
    this.#options.attempt.candidate.health.noteFailure(this.#nowMs());
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
