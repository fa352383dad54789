/**
 * What a daemon says when it asks a pool's owner for the right to call a
 * backend server, and what it reports when the call is over.
 *
 * @module
 */

import type {
  AttemptId,
  BackendServerId,
  ClientAccountId,
  PermitId,
  PoolId,
  RequestId,
} from "./ids.js";
import type { ProblemReason } from "./problems.js";
import type { Urgency } from "./rules.js";

/** What the owner has to know of one attempt of one stage. */
export interface PermitRequest {
  readonly pool: PoolId;
  readonly requestId: RequestId;
  readonly attemptId: AttemptId;
  readonly clientAccountId: ClientAccountId;
  readonly urgency: Urgency;
  /** From the sending of the permit request to the latest useful start of the stage. */
  readonly latestStartInMs: number;
  /** From the sending of the permit request to the request's deadline. */
  readonly deadlineInMs: number;
  /** How long the stage is likely to take once started. */
  readonly likelyDurationMs: number;
  /** Equal for requests that share a prompt prefix. */
  readonly prefixKey?: string;
  /**
   * The permit client has a pool of its own to turn to: to be refused rather than
   * queued. Set by the permit source.
   */
  readonly isSpill?: boolean;
  /** Backend servers that already failed this stage. */
  readonly excluded: readonly BackendServerId[];
}

/** The right to have one call in flight at one backend server. */
export interface Permit {
  readonly permitId: PermitId;
  readonly attemptId: AttemptId;
  readonly pool: PoolId;
  readonly backendServerId: BackendServerId;
  /** How the owner saw the backend server when it granted. */
  readonly warmUpState: "cold" | "warm";
}

export type PermitDecision =
  | { readonly kind: "granted"; readonly permit: Permit }
  | {
    readonly kind: "refused";
    readonly reason: ProblemReason;
    readonly detail: string;
    readonly retryAfterMs: number;
  };

/** How a call ended, as far as the pool's owner has to know. */
export type CallOutcome =
  | "completed"
  /** The permit was given back before anything was sent. */
  | "notSent"
  /** The connection was refused or could not be made. */
  | "connectFailed"
  /** The backend server itself said that it has too much to do. */
  | "refusedByServer"
  | "failed"
  | "timedOut"
  | "canceled";

/** Reported by the daemon that made the call, when the call is over. */
export interface PermitRelease {
  readonly permitId: PermitId;
  readonly backendServerId: BackendServerId;
  readonly outcome: CallOutcome;
  readonly durationMs: number;
  readonly firstTokenMs?: number;
  readonly tokens?: number;
}
