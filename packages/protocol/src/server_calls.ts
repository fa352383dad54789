/**
 * Calls to backend servers that a VM makes for another one.
 *
 * @module
 */

import type { AttemptId, BackendServerId, ClientAccountId } from "./ids.js";

/** Header names and values in the order received. */
export type RelayedHeaders = readonly (readonly [
  name: string,
  value: string,
])[];

/** A call to one process of a server; its body follows in separate messages. */
export interface RelayedCall {
  readonly backendServerId: BackendServerId;
  /** The start of the server's process, if it is known. */
  readonly startedAt?: number | undefined;
  readonly attemptId: AttemptId;
  readonly host: string;
  readonly method: string;
  readonly path: string;
  readonly headers: RelayedHeaders;
  readonly bodyBytes: number;
  readonly remainingMs: number;
  readonly clientAccountId?: ClientAccountId | undefined;
  /** References to the results of the route's final stages. */
  readonly inputs?: readonly string[] | undefined;
  /** Id of the last event received; the stream resumes after it. */
  readonly resumeAfter?: string | undefined;
  /** The asking VM has used one of its permits for a rollout's candidate. */
  readonly hasRolloutPermit?: boolean;
}

/** What the response states about the rate that the server accepts. */
export type RelayedRateLimit =
  | { readonly kind: "limited"; readonly requestsPerSecond: number }
  | { readonly kind: "unlimited" }
  | { readonly kind: "unknown" };

/** Whether the server wants no further requests for some time. */
export type RelayedPause =
  | { readonly kind: "none" }
  | { readonly kind: "requested"; readonly durationMs: number }
  | { readonly kind: "invalid"; readonly text: string };

/** What the response states about the server's load. */
export type RelayedLoad =
  | {
    readonly kind: "stated";
    readonly load: {
      readonly running: number;
      readonly waiting: number;
      readonly slots: number;
      readonly slowdown?: number | undefined;
    };
  }
  | { readonly kind: "none" }
  | { readonly kind: "invalid"; readonly text: string };

/** The head of a response as classified by the VM that made the call. */
export interface RelayedResponseHead {
  readonly status: number;
  readonly headers: RelayedHeaders;
  readonly isNotRun: boolean;
  readonly isInputGone: boolean;
  readonly endsWithConnection: boolean;
  readonly isGenuine: boolean;
  readonly rateLimit: RelayedRateLimit;
  readonly notice: {
    readonly isLeaving: boolean;
    readonly pause: RelayedPause;
  };
  readonly load?: RelayedLoad | undefined;
}

export type RelayedCallEvent =
  /** The request is about to be written to the server. */
  | { readonly kind: "sent" }
  | { readonly kind: "head"; readonly head: RelayedResponseHead }
  | { readonly kind: "data"; readonly data: Uint8Array }
  /** The response is complete. */
  | { readonly kind: "ended" }
  /** No part of the request has reached the server. */
  | {
    readonly kind: "notSent";
    readonly detail: string;
    /** No connection to the server could be made. */
    readonly isConnectionFailure: boolean;
    /** Whether another VM may be able to make the call. */
    readonly isPeerFailure: boolean;
  }
  /** The request may have run. */
  | {
    readonly kind: "broken";
    readonly detail: string;
    readonly remainingConnections: "none" | "some" | "notChecked";
  };
