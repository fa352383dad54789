/**
 * Interface between pipelines and backend server adapters: one call of one
 * stage at one backend server.
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
  /** Checked right before the first byte is sent; false stops the call. */
  readonly mayStart: () => boolean;
  /** Called for each text chunk as it arrives; model engines only. */
  readonly onToken?: (text: string) => void;
  /** Called once, with the time since the start of the call. */
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
  /** False only if this process cannot have sent any byte of the call. */
  readonly mayHaveRun: boolean;
}

export type CallResult = CompletedCall | FailedCall;

/** Makes calls; `call` never rejects. Aborting the signal cancels the call. */
export interface StageCaller {
  call(call: StageCall, signal: AbortSignal): Promise<CallResult>;
}

/**
 * Maps a call's result to the outcome that is reported to the pool's owner.
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
