/**
 * Permits. A daemon requests a permit from a pool's owner before it calls a
 * backend server, and reports the outcome when the call has ended.
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

/** A request for a permit, for one attempt to run one stage. */
export interface PermitRequest {
  readonly pool: PoolId;
  readonly requestId: RequestId;
  readonly attemptId: AttemptId;
  readonly clientAccountId: ClientAccountId;
  readonly urgency: Urgency;
  /**
   * Time from sending the permit request to the latest useful start of the
   * stage.
   */
  readonly latestStartInMs: number;
  /**
   * Time from sending the permit request to the deadline of the client's
   * request.
   */
  readonly deadlineInMs: number;
  /** Estimated duration of the stage once it has started. */
  readonly likelyDurationMs: number;
  /** Equal for requests that share a prompt prefix. */
  readonly prefixKey?: string;
  /**
   * The request goes to another data centre although the local pool is usable
   * and has not just refused. The owner refuses it rather than queuing it unless
   * the pool has idle capacity. Set by the permit client.
   */
  readonly isSpill?: boolean;
  /** Backend servers that already failed this stage. */
  readonly excluded: readonly BackendServerId[];
}

/** Permission for one call in flight at one backend server. */
export interface Permit {
  readonly permitId: PermitId;
  readonly attemptId: AttemptId;
  readonly pool: PoolId;
  readonly backendServerId: BackendServerId;
  /** The backend server's warm-up state as the owner saw it when granting. */
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

/** How a call ended, as reported to the pool's owner. */
export type CallOutcome =
  | "completed"
  /** The permit was released before anything was sent. */
  | "notSent"
  /** The connection was refused or could not be established. */
  | "connectFailed"
  /** The backend server responded that it is overloaded. */
  | "refusedByServer"
  | "failed"
  | "timedOut"
  | "canceled";

/** Sent by the daemon that made the call when the call has ended. */
export interface PermitRelease {
  readonly permitId: PermitId;
  readonly backendServerId: BackendServerId;
  readonly outcome: CallOutcome;
  readonly durationMs: number;
  readonly firstTokenMs?: number;
  readonly tokens?: number;
}
