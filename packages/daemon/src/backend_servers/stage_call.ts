/**
 * One call of one stage at one backend server, as the pipelines see it.
 *
 * @module
 */

import type { AttemptId } from "@sassafrasstage/protocol/ids";
import type { CallOutcome } from "@sassafrasstage/protocol/permits";
import type { Service } from "@sassafrasstage/protocol/register";
import type { Urgency } from "@sassafrasstage/protocol/rules";

export interface StageCall {
  readonly attemptId: AttemptId;
  readonly service: Service;
  readonly url: string;
  readonly operation: string;
  readonly input: unknown;
  readonly maxTokens: number;
  readonly urgency: Urgency;
  readonly idempotencyKey?: string;
  /** Asked right before the first byte leaves. */
  readonly mayStart: () => boolean;
  /** Called for each piece of text as it arrives; model engines only. */
  readonly onToken?: (text: string) => void;
  /** Called once, with the time from the start of the call. */
  readonly onFirstToken?: (firstTokenMs: number) => void;
}

export interface CompletedCall {
  readonly kind: "completed";
  readonly output: unknown;
  readonly firstTokenMs?: number;
  readonly tokens?: number;
}

export interface FailedCall {
  readonly kind: "failed";
  readonly cause:
    | "connectFailed"
    | "refusedByServer"
    | "failed"
    | "timedOut"
    | "canceled"
    | "streamBroken"
    | "foreignResult";
  readonly detail: string;
  /** False only if no byte of the call can have left this process. */
  readonly mayHaveRun: boolean;
}

export type CallResult = CompletedCall | FailedCall;

/** Runs one call; never rejects. Aborting the signal cancels the call. */
export interface StageCaller {
  call(call: StageCall, signal: AbortSignal): Promise<CallResult>;
}

/**
 * What the pool's owner is told of a call.
 *
 * @example
 * ```ts
 * toCallOutcome(result); // "completed"
 * ```
 */
export function toCallOutcome(result: CallResult): CallOutcome {
  if (result.kind === "completed") return "completed";
  switch (result.cause) {
    case "connectFailed":
    case "refusedByServer":
    case "failed":
    case "timedOut":
    case "canceled":
      return result.cause;
    case "streamBroken":
    case "foreignResult":
      return "failed";
  }
}
