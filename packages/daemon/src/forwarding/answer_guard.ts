/**
 * Sees to it that a request ends with exactly one answer, also after an
 * unexpected error.
 *
 * @module
 */

import type { ForwardEnvironment, ForwardOutcome } from "./forward_context.js";
import type {
  ClientChannel,
  LocalReply,
  RoutedRequest,
} from "./routed_request.js";
import { SingleAnswerChannel } from "./single_answer_channel.js";

/** Part of a request's forwarding in which an error occurred. */
export type ForwardStage = "admission" | "forwarding" | "recording";

/** Short, as another VM can take the request immediately. */
const RETRY_AFTER_MS = 20;

/** One per request; forwarding uses its channel and its environment. */
export class AnswerGuard {
  readonly channel: SingleAnswerChannel;
  /** Notes that a call was started, as the request may have run then. */
  readonly environment: ForwardEnvironment;
  readonly #request: RoutedRequest;
  #stage: ForwardStage = "admission";
  #hasStartedCall = false;

  constructor(
    request: RoutedRequest,
    options: {
      readonly channel: ClientChannel;
      readonly environment: ForwardEnvironment;
    },
  ) {
    const { environment } = options;
    this.#request = request;
    this.channel = new SingleAnswerChannel(options.channel, () => {
      this.#report("repeatedAnswer");
    });
    this.environment = {
      ...environment,
      serverCaller: {
        start: (call, listener) => {
          this.#hasStartedCall = true;
          return environment.serverCaller.start(call, listener);
        },
      },
    };
  }

  enter(stage: ForwardStage): void {
    this.#stage = stage;
  }

  /** Answers a request whose forwarding ended without an answer. */
  settle(outcome: ForwardOutcome): ForwardOutcome {
    if (this.#isSettled()) return outcome;
    this.#report("answerMissing");
    return this.#answer();
  }

  /** Answers a request whose forwarding failed, unless it was answered before. */
  settleAfterError(error: unknown): ForwardOutcome {
    this.#report(
      "forwardingFailed",
      error instanceof Error ? error : new Error(String(error)),
    );
    return this.#answer();
  }

  #isSettled(): boolean {
    const { state, isClosed } = this.channel;
    return isClosed || state === "complete" || state === "aborted";
  }

  #answer(): ForwardOutcome {
    if (this.channel.state === "begun") {
      this.channel.abort();
      return { kind: "brokenOff", detail: "internalError" };
    }
    if (this.#isSettled()) {
      return this.channel.isClosed
        ? { kind: "clientGone" }
        : { kind: "own", answer: "internalError", detail: this.#stage };
    }
    const reply = this.#localReply();
    this.channel.sendLocalReply(reply);
    return {
      kind: "own",
      answer: reply.kind === "refused" ? reply.reason : reply.kind,
      detail: "internalError",
    };
  }

  #localReply(): LocalReply {
    if (this.#hasStartedCall) {
      return { kind: "failed", detail: "internalError" };
    }
    return {
      kind: "refused",
      reason: "internalError",
      retryAfterMs: RETRY_AFTER_MS,
      detail: "An unexpected error occurred before the request was sent",
    };
  }

  #report(event: string, error?: Error): void {
    const { metrics, logger } = this.environment;
    metrics.countEvent(`${event}.${this.#stage}`);
    logger.error(event, {
      request: this.#request.attemptId,
      stage: this.#stage,
      answer: this.channel.state,
      hasStartedCall: this.#hasStartedCall,
      error: error?.toString(),
      at: error === undefined ? undefined : firstFrame(error),
    });
  }
}

/** The function and line in which the error was created. */
function firstFrame(error: Error): string | undefined {
  return error.stack?.split("\n").find((line) => /^\s+at /.test(line))?.trim();
}
