/**
 * Runs one call to a backend server for a request.
 *
 * @module
 */

import { makeDeferred } from "../deferred.js";
import { AccountedBuffer } from "../memory/accounted_buffer.js";
import type { AttemptInput } from "./attempt_input.js";
import { observeCall } from "./observe_call.js";
import { CallDuration } from "./call_duration.js";
import { sampleCall } from "./sample_call.js";
import { requestDigest } from "./request_digest.js";
import { formatPromptParts } from "./format_prompt_parts.js";
import type {
  ResponseHead,
  RunningServerCall,
  ServerCall,
  ServerCallFailure,
  ServerCallListener,
} from "./server_caller.js";

/** Waits for a connection from this duration on are logged at `info`. */
const REPORTED_CONNECTION_WAIT_MS = 250;

/** Size of a response body that is buffered. */
export const MAX_BUFFERED_RESPONSE_BYTES = 4 * 1024 * 1024;

/** A complete response from a backend server. */
export interface BufferedResponse {
  readonly head: ResponseHead;
  readonly body: Buffer;
}

export type AttemptResult =
  | { readonly kind: "answered"; readonly response: BufferedResponse }
  /** The server has not run the request. */
  | { readonly kind: "notRun"; readonly isInputGone: boolean }
  | { readonly kind: "notSent"; readonly detail: string }
  /** It may have run, but the response is missing or not authentic. */
  | { readonly kind: "broken"; readonly detail: string };

/** Converts the attempt into a call for the backend server adapter. */
export function toServerCall(input: AttemptInput): ServerCall {
  const { context, candidate, inputs, resumeAfter } = input;
  return {
    server: candidate.server,
    request: context.request,
    maySend: () =>
      context.environment.directory.maySend(candidate, {
        isContinuation: resumeAfter !== undefined,
      }),
    connectionShare: context.environment.directory
      .connectionShare(candidate.server.service),
    remainingMs: Math.max(1, Math.floor(context.lifetime.remainingMs())),
    account: context.account?.id,
    inputs,
    resumeAfter,
    ...(candidate.permit !== undefined && { hasRolloutPermit: true }),
  };
}

/** Listener for the events of a call after the health has been updated. */
export type AttemptListener = Omit<ServerCallListener, "onSend">;

export interface StartedCall extends RunningServerCall {
  /**
   * Ends a call whose response exceeds a limit, and counts this as a failure of
   * the server; the listener's `onFailure` is called.
   */
  endOversized(detail: string): void;
  /** Ends a call to free memory; the listener's `onFailure` is called. */
  evict(): void;
  /** Called for each event of a stream once it is complete. */
  recordEvent(): void;
  /** A response that has ended without an error isn't complete. */
  recordCutOff(): void;
}

/** Starts a call and updates the server's health from its outcome. */
export function startCall(
  input: AttemptInput,
  listener: AttemptListener,
): StartedCall {
  const { environment } = input.context;
  const { health, server } = input.candidate;
  const startedAtMs = environment.clock.nowMs();
  let isFinished = false;
  let hasFirstEvent = false;
  let isFailureOfHeadCounted = false;
  const observation = observeCall(input);
  const duration = new CallDuration(input);
  const sample = sampleCall(input);
  function finish(): boolean {
    if (isFinished) return false;
    isFinished = true;
    health.inFlight -= 1;
    releaseMemory();
    return true;
  }
  function fail(failure: ServerCallFailure): void {
    const nowMs = environment.clock.nowMs();
    if (!finish()) return;
    if (failure.kind === "notSent") {
      if (environment.directory.isUsable(server)) {
        health.recordUnreachable(nowMs);
      }
    } else if (!isFailureOfHeadCounted) health.recordFailure(nowMs);
    const remainingConnections = failure.kind === "broken"
      ? failure.remainingConnections
      : "notChecked";
    if (remainingConnections === "none") {
      environment.metrics.countEvent("callEndedWithServer");
    }
    const isCrash = observation.recordFailure(failure);
    if (isCrash) {
      environment.directory.recordCrash(server);
      input.onServerCrash?.();
    }
    sample.recordFailure(failure, { isCrash });
    if (failure.kind === "notSent") input.candidate.permit?.giveBack();
    environment.logger.info("serverCallFailed", {
      request: input.context.request.attemptId,
      server: server.id,
      failure: failure.kind,
      detail: failure.detail,
      afterMs: Math.round(nowMs - startedAtMs),
      digest: requestDigest(input.context),
      parts: formatPromptParts(input.context.request.prompt),
      firstEvent: hasFirstEvent,
      remainingConnections,
    });
    listener.onFailure(failure);
  }
  health.inFlight += 1;
  const releaseMemory = environment.directory
    .holdMemory(server, input.context.request.prompt);
  const call = environment.serverCaller.start(toServerCall(input), {
    onSend: () => {
      observation.recordSend();
      duration.recordSend();
      const { trace } = input.context;
      if (trace !== undefined) trace.softwareVersion = server.softwareVersion;
      sample.recordSend();
      logSend(input, environment.clock.nowMs() - startedAtMs);
      countSendUnderRateLimit(input);
    },
    onHead: (head) => {
      observation.recordHead(head);
      sample.recordHead(head);
      const nowMs = environment.clock.nowMs();
      environment.rateLimits.recordStatement(server.id, head.rateLimit, {
        startedAtMs,
        request: input.context.request.attemptId,
      });
      environment.serverNotices.record(
        server,
        head.notice,
        input.context.request.attemptId,
      );
      duration.recordHead(head);
      // A pause says when the server can be used again.
      const isPaused = head.notice.pause.kind === "requested";
      if (head.isNotRun) {
        if (!isPaused) health.recordOverload(nowMs);
      } else if (!head.isGenuine) {
        isFailureOfHeadCounted = true;
        health.recordFailure(nowMs);
      } else {
        health.recordResponse(nowMs - startedAtMs);
        if (head.status >= 500) health.recordFailure(nowMs);
      }
      listener.onHead(head);
    },
    onBody: (chunk) => {
      listener.onBody(chunk);
    },
    onEnd: () => {
      if (!finish()) return;
      duration.recordEnd();
      observation.recordEnd();
      listener.onEnd();
      sample.recordEnd();
    },
    onFailure: fail,
  });
  return {
    endOversized: (detail) => {
      if (isFinished) return;
      environment.metrics.countEvent("oversizedResponse");
      call.cancel();
      fail({ kind: "broken", detail, remainingConnections: "notChecked" });
    },
    evict: () => {
      if (isFinished) return;
      call.cancel();
      fail({
        kind: "broken",
        detail: "evicted",
        remainingConnections: "notChecked",
      });
    },
    recordEvent: () => {
      hasFirstEvent = true;
      duration.recordEvent();
      observation.recordEvent();
      sample.recordEvent();
    },
    recordCutOff: () => {
      sample.recordCutOff();
    },
    cancel: () => {
      if (!finish()) return;
      observation.recordCancel();
      sample.recordCancel();
      call.cancel();
    },
    cancelIfNotSent: () => {
      if (isFinished || !call.cancelIfNotSent()) return false;
      observation.recordCancel();
      sample.recordCancel();
      input.candidate.permit?.giveBack();
      return finish();
    },
  };
}

function logSend(input: AttemptInput, waitedMs: number): void {
  const { environment, request } = input.context;
  const { clock, logger } = environment;
  const fields = {
    request: request.attemptId,
    server: input.candidate.server.id,
    softwareVersion: input.candidate.server.softwareVersion,
    waitedMs: Math.round(waitedMs),
    sinceReceivedMs: Math.round(clock.nowMs() - request.receivedAtMs),
  };
  if (waitedMs < REPORTED_CONNECTION_WAIT_MS) {
    logger.debug("serverCallSent", fields);
  } else logger.info("serverCallSent", fields);
}

function countSendUnderRateLimit(input: AttemptInput): void {
  const { rateLimits, metrics } = input.context.environment;
  const { server } = input.candidate;
  if (rateLimits.requestsPerSecond(server.id) === undefined) return;
  metrics.countEvent("sentToRateLimitedServer");
}

/** Opens a buffer for bytes of the response in the account of the process. */
export function openResponseBuffer(
  { context }: AttemptInput,
  evict: () => void,
): AccountedBuffer {
  return new AccountedBuffer({
    account: context.environment.buffers,
    use: "serverResponses",
    holder: {
      isIrreplaceable: () =>
        context.route.repeatability.kind === "nonIdempotent",
      evict,
    },
  });
}

/** A call whose response is being buffered. */
export interface RunningAttempt {
  readonly result: Promise<AttemptResult>;
  cancel(): void;
  /** Cancels a call that still waits for a connection. */
  cancelIfNotSent(): boolean;
}

/** Calls the server and buffers its complete response. */
export function runBufferedAttempt(input: AttemptInput): RunningAttempt {
  const result = makeDeferred<AttemptResult>();
  const body = openResponseBuffer(input, () => {
    call.evict();
  });
  let head: ResponseHead | undefined;
  const call = startCall(input, {
    onHead: (newHead) => {
      head = newHead;
    },
    onBody: (chunk) => {
      if (body.length + chunk.length > MAX_BUFFERED_RESPONSE_BYTES) {
        call.endOversized("bodyTooLarge");
      } else body.append(chunk);
    },
    onEnd: () => {
      result.resolve(classifyResponse(head, body.take()));
    },
    onFailure: (failure) => {
      body.take();
      result.resolve(classifyFailure(head, failure));
    },
  });
  return {
    result: result.promise,
    cancel: () => {
      call.cancel();
      body.take();
      result.resolve({ kind: "broken", detail: "canceled" });
    },
    cancelIfNotSent: () => call.cancelIfNotSent(),
  };
}

function classifyResponse(
  head: ResponseHead | undefined,
  body: Buffer,
): AttemptResult {
  if (head === undefined) return { kind: "broken", detail: "noHead" };
  if (head.isNotRun) {
    return { kind: "notRun", isInputGone: head.isInputGone };
  }
  if (!head.isGenuine) return { kind: "broken", detail: "notGenuine" };
  return { kind: "answered", response: { head, body } };
}

/** A head that says "not run" is conclusive even if the body is incomplete. */
export function classifyFailure(
  head: ResponseHead | undefined,
  failure: ServerCallFailure,
): AttemptResult {
  if (head?.isNotRun === true) {
    return { kind: "notRun", isInputGone: head.isInputGone };
  }
  return { kind: failure.kind, detail: failure.detail };
}
