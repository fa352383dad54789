/**
 * Relays the event stream of one request from its calls to the client.
 *
 * A stream usually has one call. While that one is silent, another server may be
 * called as a replacement; the call that first delivers an event goes on, and
 * the others are canceled.
 *
 * @module
 */

import type { Deferred } from "../deferred.js";
import { makeDeferred } from "../deferred.js";
import { pollSockets } from "../http/poll_sockets.js";
import type { CompleteEvents } from "./event_splitter.js";
import type { ForwardContext } from "./forward_context.js";
import {
  type ReplacementDecision,
  SILENCE_LIMIT_MS,
} from "./replacement_policy.js";
import type { AttemptInput } from "./attempt_input.js";
import type { ResponseHead } from "./server_caller.js";
import {
  type DropCause,
  StreamCall,
  type StreamCallResult,
} from "./stream_call.js";
import { StreamCallLog } from "./stream_call_log.js";

/** Result of all calls that were open together. */
export type StreamResult =
  /** The complete stream was sent to the client. */
  | { readonly kind: "complete" }
  /** The request's lifetime ended before the calls did. */
  | { readonly kind: "ended" }
  | Exclude<StreamCallResult, { readonly kind: "streamed" }>;

/** What the client has received, over all calls for the request. */
export interface StreamProgress {
  isHeadSent: boolean;
  /** The client expects the stream to end when its connection closes. */
  endsWithConnection: boolean;
  /** Id of the last forwarded event. */
  lastEventId: string | undefined;
}

/** Places the replacements of silent calls. */
export interface ReplacementSource {
  decide(lastReceivedAtMs: number, nowMs: number): ReplacementDecision;
  /** Calls `start` unless the signal is aborted or no server can be had. */
  place(
    signal: AbortSignal,
    start: (attempt: AttemptInput) => void,
  ): Promise<void>;
}

export interface StreamRelayOptions {
  readonly context: ForwardContext;
  readonly progress: StreamProgress;
  readonly replacements: ReplacementSource;
  /** Called before events of a call are forwarded. */
  readonly onEvents: (call: StreamCall) => void;
  readonly onDropped: (cause: DropCause) => void;
}

const FIRST_SERVER_ERROR = 500;
/** Time for which two servers may work on a stream. */
const MAX_OVERLAP_MS = 200;
/** Interval of the check while a call is silent. */
const SILENCE_RECHECK_MS = 250;
/** What a client that doesn't read may leave unread of a stream. */
const MAX_CLIENT_BACKLOG_BYTES = 2 * 1024 * 1024;

export class StreamRelay {
  readonly #options: StreamRelayOptions;
  readonly #log: StreamCallLog;
  readonly #result: Deferred<StreamResult> = makeDeferred();
  /** The open calls in the order in which they were started. */
  readonly #calls = new Set<StreamCall>();
  #placement: AbortController | undefined;
  #timer: NodeJS.Timeout | undefined;
  #overlapTimer: NodeJS.Timeout | undefined;
  #checkDueAtMs = 0;

  private constructor(options: StreamRelayOptions) {
    this.#options = options;
    this.#log = new StreamCallLog(options.context);
  }

  /** Relays until the stream, its last call or the request's lifetime ends. */
  static async run(
    options: StreamRelayOptions,
    attempt: AttemptInput,
  ): Promise<StreamResult> {
    const relay = new StreamRelay(options);
    relay.#start(attempt);
    relay.#scheduleCheck();
    const stopListening = options.context.lifetime.onEnd(() => {
      relay.#finish({ kind: "ended" });
    });
    const result = await relay.#result.promise;
    stopListening();
    return result;
  }

  #start(attempt: AttemptInput): void {
    const call = new StreamCall(attempt, {
      onBegin: (sender) => {
        this.#limitOverlap(sender);
      },
      onEvents: (sender, head, events) => {
        this.#handleEvents(sender, head, events);
      },
      onResult: (sender, result) => {
        this.#handleResult(sender, result);
      },
    });
    if (!call.isEnded) this.#calls.add(call);
  }

  /** Ends the other calls soon after a replacement has begun. */
  #limitOverlap(call: StreamCall): void {
    const [first] = this.#calls;
    if (first === undefined || call === first) return;
    clearTimeout(this.#overlapTimer);
    this.#overlapTimer = setTimeout(() => {
      if (this.#calls.has(call)) this.#dropOthers(call);
    }, MAX_OVERLAP_MS);
  }

  /** Ends all calls. */
  #finish(result: StreamResult): void {
    clearTimeout(this.#timer);
    clearTimeout(this.#overlapTimer);
    this.#placement?.abort();
    for (const call of this.#calls) call.cancel();
    this.#calls.clear();
    this.#result.resolve(result);
  }

  #handleEvents(
    call: StreamCall,
    head: ResponseHead,
    { bytes, lastId }: CompleteEvents,
  ): void {
    this.#dropOthers(call);
    this.#forward(call, head, bytes);
    if (lastId !== undefined) this.#options.progress.lastEventId = lastId;
    this.#checkBacklog();
  }

  /** Cancels the other calls, as the given one goes on with the stream. */
  #dropOthers(call: StreamCall): void {
    this.#placement?.abort();
    if (this.#calls.size <= 1) return;
    this.#log.recordGoingOn(call, this.#isReplacement(call));
    const nowMs = this.#nowMs();
    let isEarlier = true;
    for (const other of this.#calls) {
      if (other === call) {
        isEarlier = false;
        continue;
      }
      // A server that was replaced has failed; one that was too late has not.
      if (isEarlier) other.candidate.health.recordFailure(nowMs);
      other.cancel();
      this.#drop(other, { kind: "superseded" });
    }
  }

  #drop(call: StreamCall, cause: DropCause): void {
    this.#log.recordDropped(call, cause, this.#isReplacement(call));
    this.#calls.delete(call);
    this.#options.onDropped(cause);
  }

  #isReplacement(call: StreamCall): boolean {
    const [first] = this.#calls;
    return call !== first;
  }

  #forward(call: StreamCall, head: ResponseHead, bytes: Buffer): void {
    this.#options.onEvents(call);
    this.#sendHead(head);
    this.#options.context.channel.write(bytes);
  }

  /** Sends the head of the first server that streams; later heads are ignored. */
  #sendHead(head: ResponseHead): void {
    const { progress, context } = this.#options;
    if (progress.isHeadSent) return;
    progress.isHeadSent = true;
    progress.endsWithConnection = head.endsWithConnection;
    context.channel.writeHead(head);
  }

  /** Ends a stream that its client reads too slowly. */
  #checkBacklog(): void {
    const { context } = this.#options;
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

  #handleResult(call: StreamCall, result: StreamCallResult): void {
    const final = this.#toFinalResult(result);
    if (result.kind === "streamed" && final.kind === "complete") {
      this.#dropOthers(call);
      this.#sendHead(result.head);
      this.#options.context.channel.end();
    } else if (isClientError(final)) {
      this.#dropOthers(call);
    } else if (this.#hasOthers(call) && final.kind !== "complete") {
      this.#drop(call, final);
      return;
    }
    this.#calls.delete(call);
    this.#finish(final);
  }

  #toFinalResult(
    result: StreamCallResult,
  ): Exclude<StreamResult, { readonly kind: "ended" }> {
    switch (result.kind) {
      case "streamed":
        return this.#mayBeCutOff(result.head)
          ? { kind: "broken", detail: "cutOff" }
          : { kind: "complete" };
      case "answered":
        return this.#options.progress.isHeadSent
          ? { kind: "broken", detail: `status${result.head.status}` }
          : result;
      default:
        return result;
    }
  }

  /**
   * Whether the stream may be truncated after an event without the client being
   * able to detect it. This requires a server that marks the end by closing the
   * connection, and a client that expects another mark.
   */
  #mayBeCutOff(head: ResponseHead): boolean {
    const { progress } = this.#options;
    return head.endsWithConnection && progress.isHeadSent &&
      !progress.endsWithConnection;
  }

  /** Schedules the check for the moment at which all calls may be silent. */
  #scheduleCheck(): void {
    if (this.#calls.size === 0) return;
    const nowMs = this.#nowMs();
    const untilLimitMs = this.#lastReceivedAtMs() + SILENCE_LIMIT_MS - nowMs;
    const delayMs = untilLimitMs > 0 ? untilLimitMs : SILENCE_RECHECK_MS;
    this.#checkDueAtMs = nowMs + delayMs;
    this.#timer = setTimeout(() => {
      void this.#checkSilence();
    }, delayMs);
  }

  async #checkSilence(): Promise<void> {
    const checkDelayMs = this.#nowMs() - this.#checkDueAtMs;
    // After a delay of the event loop, this runs before data is read that has
    // already arrived.
    if (this.#isSilent()) await pollSockets();
    if (this.#isSilent()) this.#handleSilence(checkDelayMs);
    this.#scheduleCheck();
  }

  #handleSilence(checkDelayMs: number): void {
    const nowMs = this.#nowMs();
    const decision = this.#placement === undefined
      ? this.#options.replacements.decide(this.#lastReceivedAtMs(), nowMs)
      : "placing";
    for (const call of this.#calls) {
      if (nowMs - call.lastReceivedAtMs < SILENCE_LIMIT_MS) continue;
      if (!call.recordSilence(nowMs)) continue;
      this.#log.recordSilent(call, { nowMs, checkDelayMs, decision });
    }
    if (decision === "start") void this.#placeReplacement();
  }

  async #placeReplacement(): Promise<void> {
    const placement = new AbortController();
    this.#placement = placement;
    try {
      await this.#options.replacements.place(placement.signal, (attempt) => {
        this.#log.recordReplacement(attempt);
        this.#start(attempt);
      });
    } catch (error) {
      this.#log.recordPlacementError(error);
    } finally {
      this.#placement = undefined;
    }
  }

  #isSilent(): boolean {
    return this.#calls.size > 0 &&
      this.#nowMs() - this.#lastReceivedAtMs() >= SILENCE_LIMIT_MS;
  }

  /** When any of the open calls last received data. */
  #lastReceivedAtMs(): number {
    return Math.max(
      ...[...this.#calls].map((call) => call.lastReceivedAtMs),
    );
  }

  #hasOthers(call: StreamCall): boolean {
    return this.#calls.size > (this.#calls.has(call) ? 1 : 0);
  }

  #nowMs(): number {
    return this.#options.context.environment.clock.nowMs();
  }
}

/** Other servers would give the same answer. */
function isClientError(result: StreamResult): boolean {
  return result.kind === "answered" && result.head.status < FIRST_SERVER_ERROR;
}
