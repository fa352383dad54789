/**
 * Interface for calls to backend servers, implemented by the backend server
 * adapter.
 *
 * @module
 */

import type { ClientAccountId } from "@sassafrasstage/protocol/ids";
import type { RateLimitStatement } from "../rate_limits/rate_limit_statement.js";
import type { ServerNotice } from "../register/server_notice.js";
import type { RegisteredServer } from "../register/server_register.js";
import type { LoadStatement } from "../server_load/server_load.js";
import type { HeaderList, RoutedRequest } from "./routed_request.js";

export interface ServerCall {
  readonly server: RegisteredServer;
  readonly request: RoutedRequest;
  /** Maximum number of connections from this VM to the server. */
  readonly connectionShare: number;
  /**
   * Whether the server may still get the request; checked right before it is
   * written, as it may have waited for a connection.
   */
  readonly maySend: () => boolean;
  /** Time left for the server to respond. */
  readonly remainingMs: number;
  readonly account: ClientAccountId | undefined;
  /** References to the results of the route's final stages. */
  readonly inputs: readonly string[] | undefined;
  /** Id of the last event received; the stream resumes after it. */
  readonly resumeAfter: string | undefined;
  /** A permit for a rollout's candidate was used for the call. */
  readonly hasRolloutPermit?: boolean;
}

export interface ResponseHead {
  readonly status: number;
  readonly headers: HeaderList;
  /** The server reports that it has not run the request. */
  readonly isNotRun: boolean;
  /** Not run because the server that produced an input has dropped it. */
  readonly isInputGone: boolean;
  /**
   * The body ends when the connection closes, so that a truncated body can't be
   * told from a complete one.
   */
  readonly endsWithConnection: boolean;
  /** The signature is the server's and the response belongs to this request. */
  readonly isGenuine: boolean;
  readonly rateLimit: RateLimitStatement;
  readonly notice: ServerNotice;
  /** Absent in responses that a peer of an older build passes on. */
  readonly load?: LoadStatement | undefined;
}

export type ServerCallFailure =
  /** No part of the request has left this VM. */
  | {
    readonly kind: "notSent";
    readonly detail: string;
    /** No connection to the server could be made. */
    readonly isConnectionFailure: boolean;
  }
  /** The request may have run. */
  | {
    readonly kind: "broken";
    readonly detail: string;
    readonly remainingConnections: RemainingConnections;
  };

/**
 * Whether this VM still has open connections to a server that closed or reset
 * the connection of a call. Without any, the server process may have ended.
 * `notChecked` for a call that failed in another way, or together with those to
 * several other servers, as the path to them may be at fault.
 */
export type RemainingConnections = "none" | "some" | "notChecked";

export interface ServerCallListener {
  /** A connection is available, and the request is about to be written. */
  readonly onSend: () => void;
  readonly onHead: (head: ResponseHead) => void;
  readonly onBody: (chunk: Buffer) => void;
  /** The response is complete. */
  readonly onEnd: () => void;
  readonly onFailure: (failure: ServerCallFailure) => void;
}

export interface RunningServerCall {
  /** Closes the connection; the listener isn't called again. */
  cancel(): void;
  /**
   * Cancels a call that still waits for a connection; the listener isn't called
   * again. Returns false for a call that may have run.
   */
  cancelIfNotSent(): boolean;
}

export interface ServerCaller {
  start(call: ServerCall, listener: ServerCallListener): RunningServerCall;
}
