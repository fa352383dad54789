/**
 * Logs and counts what happens to the calls of one stream.
 *
 * @module
 */

import type { LogFields } from "../observability/log_fields.js";
import type { ForwardContext } from "./forward_context.js";
import type { ReplacementDecision } from "./replacement_policy.js";
import type { AttemptInput } from "./attempt_input.js";
import type { DropCause, StreamCall } from "./stream_call.js";

export interface SilenceReport {
  readonly nowMs: number;
  /** How late the check was, as the event loop was. */
  readonly checkDelayMs: number;
  readonly decision: ReplacementDecision | "placing";
}

export class StreamCallLog {
  readonly #context: ForwardContext;

  constructor(context: ForwardContext) {
    this.#context = context;
  }

  recordSilent(call: StreamCall, report: SilenceReport): void {
    const { server, health } = call.candidate;
    this.#record("streamSilent", {
      server: server.id,
      silentMs: Math.round(report.nowMs - call.lastReceivedAtMs),
      hasEvents: call.hasEvents,
      checkDelayMs: Math.round(report.checkDelayMs),
      otherCalls: health.inFlight - 1,
      otherSilentCalls: health.silentCalls - 1,
      replacement: report.decision,
    });
  }

  recordReplacement({ candidate, resumeAfter }: AttemptInput): void {
    this.#record("streamReplacementStarted", {
      server: candidate.server.id,
      after: resumeAfter,
    });
  }

  /** A call goes on with the stream while others are open. */
  recordGoingOn(call: StreamCall, isReplacement: boolean): void {
    if (!isReplacement) return;
    this.#record("streamReplacementWon", { server: call.candidate.server.id });
  }

  /** A call ends while others are open. */
  recordDropped(
    call: StreamCall,
    cause: DropCause,
    isReplacement: boolean,
  ): void {
    this.#record("streamCallDropped", {
      server: call.candidate.server.id,
      isReplacement,
      cause: cause.kind,
      detail: "detail" in cause ? cause.detail : undefined,
    });
  }

  recordPlacementError(error: unknown): void {
    const { metrics, logger } = this.#context.environment;
    metrics.countEvent("streamReplacementError");
    logger.error("streamReplacementError", {
      request: this.#context.request.attemptId,
      error: String(error),
    });
  }

  #record(event: string, fields: LogFields): void {
    const { metrics, logger } = this.#context.environment;
    metrics.countEvent(event);
    logger.info(event, { request: this.#context.request.attemptId, ...fields });
  }
}
