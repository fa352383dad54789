/**
 * What is kept of each request of a load run.
 *
 * @module
 */

import type { ProblemReason } from "@sassafrasstage/protocol/problems";
import type { Urgency } from "@sassafrasstage/protocol/rules";

export interface StageRecord {
  readonly stage: string;
  readonly service: string;
  readonly backendServerId: string;
  readonly dataCentre: string;
  readonly attempts: number;
  readonly durationMs: number;
}

export type LoadOutcome =
  /** The whole answer to this request. */
  | {
    readonly kind: "answered";
    readonly totalMs: number;
    readonly stages: readonly StageRecord[];
  }
  /** An answer with status 200 whose content isn't this request's own. */
  | { readonly kind: "wrongAnswer"; readonly detail: string }
  | {
    readonly kind: "refused";
    readonly status: number;
    readonly reason: ProblemReason | "unreadable";
    readonly notRun: boolean;
  }
  /** No answer: the connection broke, or the caller gave up. */
  | { readonly kind: "lost"; readonly detail: string };

/** When the pieces of a streamed answer came. */
export interface TokenTimes {
  /** From the intended send time. */
  readonly firstMs: number;
  readonly gapsMs: readonly number[];
}

export interface LoadRecord {
  readonly serial: number;
  /** How late the load generator itself was. */
  readonly sendDelayMs: number;
  readonly atMs: number;
  readonly pipeline: string;
  readonly urgency: Urgency;
  readonly clientAccount: string;
  readonly vmId: string;
  /** From the intended send time to the last byte. */
  readonly latencyMs: number;
  readonly isWithinDeadline: boolean;
  readonly outcome: LoadOutcome;
  readonly tokenTimes?: TokenTimes;
}
