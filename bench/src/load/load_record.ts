/**
 * The record of each request of a load run.
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
  /** A complete and correct answer. */
  | {
    readonly kind: "answered";
    readonly totalMs: number;
    readonly stages: readonly StageRecord[];
  }
  /** An answer with status 200 whose output isn't the expected one. */
  | { readonly kind: "wrongAnswer"; readonly detail: string }
  | {
    readonly kind: "refused";
    readonly status: number;
    readonly reason: ProblemReason | "unreadable";
    readonly notRun: boolean;
  }
  /**
   * No complete answer: no entry VM was ready, the connection failed, the stream
   * ended early or the caller timed out.
   */
  | { readonly kind: "lost"; readonly detail: string };

/** Arrival times of the tokens of a streamed answer. */
export interface TokenTimes {
  /** Time from the intended send time to the first token. */
  readonly firstMs: number;
  readonly gapsMs: readonly number[];
}

export interface LoadRecord {
  readonly serial: number;
  /** How late the load generator sent the request. */
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
